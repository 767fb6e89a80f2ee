package io.endiveshed.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * A mapping of a YAML file. Each reading method reports a fault to the list of errors and returns an empty value, so
 * that reading goes on and later faults are found too.
 */
public final class Section {
    private final String file;
    private final String path;
    private final MappingNode node;
    private final List<SettingsError> errors;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Node> keys = new LinkedHashMap<>();
    private final Set<String> known = new HashSet<>();

    Section(String file, String path, MappingNode node, List<SettingsError> errors) {
        this.file = file;
        this.path = path;
        this.node = node;
        this.errors = errors;
        node.getValue().forEach(this::add);
    }

    /** Returns the line of the section, from 1. */
    public int line() {
        return line(node);
    }

    /** Returns the line of a key, or that of the section if the key is missing. */
    public int line(String key) {
        return keys.containsKey(key) ? line(keys.get(key)) : line();
    }

    /** Returns the file as the operator wrote it. */
    public String file() {
        return file;
    }

    /** Tells whether a key is present. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns all keys in the order of the file, and marks them as known. */
    public Set<String> keys() {
        known.addAll(values.keySet());
        return values.keySet();
    }

    /** Adds a fault of a value. */
    public void fault(String key, String found, String remedy) {
        errors.add(new SettingsError(file, line(key), found, remedy));
    }

    /** Reads optional text. */
    public Optional<String> text(String key) {
        known.add(key);
        Node value = values.get(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return Optional.of(scalar.getValue());
        }
        fault(key, "found no single value for \"" + name(key) + "\"", "write one value on the line of the key");
        return Optional.empty();
    }

    /** Reads text that must be present; the example is shown if it is missing. */
    public Optional<String> required(String key, String example) {
        if (!has(key)) {
            known.add(key);
            fault(key, "\"" + name(key) + "\" is missing", "add the line \"" + key + ": " + example + "\"");
        }
        return text(key);
    }

    /**
     * Reads a value through a function that throws {@link IllegalArgumentException} with the reason for text that it
     * does not accept.
     */
    public <T> Optional<T> value(String key, Optional<String> text, Function<String, T> reader) {
        try {
            return text.map(reader);
        } catch (IllegalArgumentException e) {
            fault(key, "found \"" + text.get() + "\" for \"" + name(key) + "\"", e.getMessage());
            return Optional.empty();
        }
    }

    /** Reads an optional time within bounds. */
    public Optional<Duration> time(String key, Duration min, Duration max) {
        return value(key, text(key), text -> {
            Duration time = Units.time(text)
                    .orElseThrow(() -> new IllegalArgumentException(
                            "write a whole number and a unit of ms, s, min, h or d, such as " + Units.write(max)));
            if (time.compareTo(min) < 0 || time.compareTo(max) > 0) {
                throw new IllegalArgumentException("write a time from " + Units.write(min) + " to " + Units.write(max));
            }
            return time;
        });
    }

    /** Reads an optional size in bytes within bounds. */
    public Optional<Long> size(String key, long min, long max) {
        return value(key, text(key), text -> {
            long size = Units.size(text)
                    .orElseThrow(() -> new IllegalArgumentException(
                            "write a whole number and a unit of B, KiB, MiB or GiB, such as " + Units.write(max)));
            if (size < min || size > max) {
                throw new IllegalArgumentException("write a size from " + Units.write(min) + " to " + Units.write(max));
            }
            return size;
        });
    }

    /** Reads an optional whole number within bounds. */
    public Optional<Long> number(String key, long min, long max) {
        return value(key, text(key), text -> {
            String remedy = "write a whole number from " + min + " to " + max + " without a unit";
            try {
                long number = Long.parseLong(text);
                if (number >= min && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(remedy, e);
            }
            throw new IllegalArgumentException(remedy);
        });
    }

    /** Reads an optional truth value. */
    public Optional<Boolean> flag(String key) {
        return choice(key, text(key), Map.of("true", true, "false", false));
    }

    /** Reads one of several words. */
    public <T> Optional<T> choice(String key, Optional<String> text, Map<String, T> choices) {
        return value(key, text, word -> {
            if (!choices.containsKey(word)) {
                throw new IllegalArgumentException("write one of "
                        + String.join(", ", choices.keySet().stream().sorted().toList()));
            }
            return choices.get(word);
        });
    }

    /** Reads a list of texts; missing is empty. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (Node item : items(key)) {
            if (item instanceof ScalarNode scalar) {
                texts.add(scalar.getValue());
            } else {
                errors.add(new SettingsError(
                        file, line(item), "found a nested value in \"" + name(key) + "\"", "write one value per item"));
            }
        }
        return texts;
    }

    /** Reads a list of sections; missing is empty. */
    public List<Section> sections(String key) {
        List<Section> sections = new ArrayList<>();
        for (Node item : items(key)) {
            if (item instanceof MappingNode mapping) {
                sections.add(new Section(file, name(key), mapping, errors));
            } else {
                errors.add(new SettingsError(
                        file,
                        line(item),
                        "found no keys in an item of \"" + name(key) + "\"",
                        "write \"- key: value\""));
            }
        }
        return sections;
    }

    /** Reads an optional section. */
    public Optional<Section> section(String key) {
        known.add(key);
        Node value = values.get(key);
        if (value instanceof MappingNode mapping) {
            return Optional.of(new Section(file, name(key), mapping, errors));
        }
        if (value != null) {
            fault(key, "found no keys under \"" + name(key) + "\"", "indent \"key: value\" lines below it");
        }
        return Optional.empty();
    }

    /** Reports the keys that no method has asked for. */
    public void finish() {
        for (String key : keys.keySet()) {
            if (!known.contains(key)) {
                fault(
                        key,
                        "found the unknown key \"" + name(key) + "\"",
                        "use one of "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    private List<Node> items(String key) {
        known.add(key);
        Node value = values.get(key);
        if (value instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        if (value != null) {
            fault(key, "found no list for \"" + name(key) + "\"", "write a list, such as \"" + key + ": [a, b]\"");
        }
        return List.of();
    }

    private void add(NodeTuple entry) {
        if (!(entry.getKeyNode() instanceof ScalarNode scalar)) {
            errors.add(
                    new SettingsError(file, line(entry.getKeyNode()), "found a key that is no word", "write a word"));
            return;
        }
        String key = scalar.getValue();
        if (values.containsKey(key)) {
            errors.add(new SettingsError(
                    file,
                    line(scalar),
                    "found the key \"" + name(key) + "\" again; it is also on line " + line(key),
                    "remove one of the two lines"));
            return;
        }
        keys.put(key, scalar);
        values.put(key, entry.getValueNode());
    }

    private String name(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static int line(Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
