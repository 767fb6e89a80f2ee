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
 * Mapping of a YAML file, read key by key. A reading method that finds an invalid value adds an error to the list and
 * returns an empty value, so that reading continues and later errors are reported too. Not safe for use by several
 * threads.
 */
public final class Section {
    private final String file;
    private final String path;
    private final MappingNode node;
    private final List<SettingsError> errors;
    private final Map<String, Node> valueNodes = new LinkedHashMap<>();
    private final Map<String, Node> keyNodes = new LinkedHashMap<>();
    private final Set<String> expectedKeys = new HashSet<>();

    Section(String file, String path, MappingNode node, List<SettingsError> errors) {
        this.file = file;
        this.path = path;
        this.node = node;
        this.errors = errors;
        node.getValue().forEach(this::addEntry);
    }

    /** Returns the line on which the section starts, counted from 1. */
    public int line() {
        return lineOf(node);
    }

    /** Returns the line of a key, counted from 1, or the line of the section if the key is missing. */
    public int line(String key) {
        return keyNodes.containsKey(key) ? lineOf(keyNodes.get(key)) : line();
    }

    /** Returns the path of the file as the operator gave it. */
    public String file() {
        return file;
    }

    /** Returns whether a key is present. */
    public boolean has(String key) {
        return valueNodes.containsKey(key);
    }

    /** Returns all keys in the order of the file and marks them as expected, see {@link #reportUnknownKeys()}. */
    public Set<String> keys() {
        expectedKeys.addAll(valueNodes.keySet());
        return valueNodes.keySet();
    }

    /** Adds an error about the value of a key. */
    public void addError(String key, String found, String remedy) {
        errors.add(new SettingsError(file, line(key), found, remedy));
    }

    /** Returns the text of a key; empty if the key is missing or its value is not a single non-empty value. */
    public Optional<String> text(String key) {
        expectedKeys.add(key);
        Node value = valueNodes.get(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return Optional.of(scalar.getValue());
        }
        addError(
                key,
                "found no single value for \"" + qualifiedName(key) + "\"",
                "write one value on the line of the key");
        return Optional.empty();
    }

    /** Returns the text of a required key; if the key is missing, the remedy shows the example. */
    public Optional<String> requiredText(String key, String example) {
        if (!has(key)) {
            expectedKeys.add(key);
            addError(key, "\"" + qualifiedName(key) + "\" is missing", "add the line \"" + key + ": " + example + "\"");
        }
        return text(key);
    }

    /**
     * Returns the parsed value of a key; empty if there is no text or the parser rejects it.
     *
     * @param parser throws {@link IllegalArgumentException} with the remedy as its message for text that is not valid
     */
    public <T> Optional<T> parse(String key, Optional<String> text, Function<String, T> parser) {
        try {
            return text.map(parser);
        } catch (IllegalArgumentException e) {
            addError(key, "found \"" + text.get() + "\" for \"" + qualifiedName(key) + "\"", e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns the duration of an optional key; values outside {@code min} to {@code max} are errors. */
    public Optional<Duration> duration(String key, Duration min, Duration max) {
        return parse(key, text(key), text -> {
            Duration duration = Quantities.parseDuration(text)
                    .orElseThrow(() -> new IllegalArgumentException(
                            "write a whole number and a unit of ms, s, min, h or d, such as "
                                    + Quantities.format(max)));
            if (duration.compareTo(min) < 0 || duration.compareTo(max) > 0) {
                throw new IllegalArgumentException(
                        "write a time from " + Quantities.format(min) + " to " + Quantities.format(max));
            }
            return duration;
        });
    }

    /** Returns the size of an optional key in bytes; values outside {@code min} to {@code max} are errors. */
    public Optional<Long> sizeBytes(String key, long min, long max) {
        return parse(key, text(key), text -> {
            long size = Quantities.parseSizeBytes(text)
                    .orElseThrow(() -> new IllegalArgumentException(
                            "write a whole number and a unit of B, KiB, MiB or GiB, such as "
                                    + Quantities.format(max)));
            if (size < min || size > max) {
                throw new IllegalArgumentException(
                        "write a size from " + Quantities.format(min) + " to " + Quantities.format(max));
            }
            return size;
        });
    }

    /** Returns the integer of an optional key; values outside {@code min} to {@code max} are errors. */
    public Optional<Long> integer(String key, long min, long max) {
        return parse(key, text(key), text -> {
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

    /** Returns the number of an optional key, which may have a fraction; one outside the range is an error. */
    public Optional<Double> decimal(String key, double min, double max) {
        return parse(key, text(key), text -> {
            String remedy = "write a number from " + min + " to " + max + " without a unit";
            try {
                double number = Double.parseDouble(text);
                if (number >= min && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(remedy, e);
            }
            throw new IllegalArgumentException(remedy);
        });
    }

    /** Returns the boolean of an optional key; values other than {@code true} and {@code false} are errors. */
    public Optional<Boolean> booleanValue(String key) {
        return choice(key, text(key), Map.of("true", true, "false", false));
    }

    /** Returns the object to which {@code choices} maps the text of a key; other texts are errors. */
    public <T> Optional<T> choice(String key, Optional<String> text, Map<String, T> choices) {
        return parse(key, text, word -> {
            if (!choices.containsKey(word)) {
                throw new IllegalArgumentException("write one of "
                        + String.join(", ", choices.keySet().stream().sorted().toList()));
            }
            return choices.get(word);
        });
    }

    /** Returns the texts of a list; empty if the key is missing. */
    public List<String> textList(String key) {
        return parseList(key, Function.identity());
    }

    /**
     * Returns the parsed items of a list, without those that the parser rejects; empty if the key is missing. Errors name
     * the line of the item.
     *
     * @param parser throws {@link IllegalArgumentException} with the remedy as its message for text that is not valid
     */
    public <T> List<T> parseList(String key, Function<String, T> parser) {
        List<T> parsedValues = new ArrayList<>();
        for (Node item : listItems(key)) {
            String text = item instanceof ScalarNode scalar ? scalar.getValue() : "a nested value";
            try {
                if (!(item instanceof ScalarNode)) {
                    throw new IllegalArgumentException("write one value per item");
                }
                parsedValues.add(parser.apply(text));
            } catch (IllegalArgumentException e) {
                errors.add(new SettingsError(
                        file,
                        lineOf(item),
                        "found \"" + text + "\" in \"" + qualifiedName(key) + "\"",
                        e.getMessage()));
            }
        }
        return parsedValues;
    }

    /** Returns the sections of a list; empty if the key is missing. */
    public List<Section> sections(String key) {
        List<Section> sections = new ArrayList<>();
        for (Node item : listItems(key)) {
            if (item instanceof MappingNode mapping) {
                sections.add(new Section(file, qualifiedName(key), mapping, errors));
            } else {
                errors.add(new SettingsError(
                        file,
                        lineOf(item),
                        "found no keys in an item of \"" + qualifiedName(key) + "\"",
                        "write \"- key: value\""));
            }
        }
        return sections;
    }

    /** Returns the section under an optional key. */
    public Optional<Section> section(String key) {
        expectedKeys.add(key);
        Node value = valueNodes.get(key);
        if (value instanceof MappingNode mapping) {
            return Optional.of(new Section(file, qualifiedName(key), mapping, errors));
        }
        if (value != null) {
            addError(key, "found no keys under \"" + qualifiedName(key) + "\"", "indent \"key: value\" lines below it");
        }
        return Optional.empty();
    }

    /** Adds an error for each key for which no reading method was called. */
    public void reportUnknownKeys() {
        for (String key : keyNodes.keySet()) {
            if (!expectedKeys.contains(key)) {
                addError(
                        key,
                        "found the unknown key \"" + qualifiedName(key) + "\"",
                        "use one of "
                                + String.join(
                                        ", ", expectedKeys.stream().sorted().toList()));
            }
        }
    }

    private List<Node> listItems(String key) {
        expectedKeys.add(key);
        Node value = valueNodes.get(key);
        if (value instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        if (value != null) {
            addError(
                    key,
                    "found no list for \"" + qualifiedName(key) + "\"",
                    "write a list, such as \"" + key + ": [a, b]\"");
        }
        return List.of();
    }

    private void addEntry(NodeTuple entry) {
        if (!(entry.getKeyNode() instanceof ScalarNode scalar)) {
            errors.add(new SettingsError(
                    file,
                    lineOf(entry.getKeyNode()),
                    "found a key that is not a single word",
                    "write a single word as the key"));
            return;
        }
        String key = scalar.getValue();
        if (valueNodes.containsKey(key)) {
            errors.add(new SettingsError(
                    file,
                    lineOf(scalar),
                    "found the key \"" + qualifiedName(key) + "\" again; it is also on line " + line(key),
                    "remove one of the two lines"));
            return;
        }
        keyNodes.put(key, scalar);
        valueNodes.put(key, entry.getValueNode());
    }

    private String qualifiedName(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static int lineOf(Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
