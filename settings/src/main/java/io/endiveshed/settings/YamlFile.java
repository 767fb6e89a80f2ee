package io.endiveshed.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/**
 * A YAML file whose faults are collected, so that all are reported at once.
 *
 * <pre>{@code
 * List<SettingsError> errors = new ArrayList<>();
 * Section root = YamlFile.read(path, errors).orElse(...);
 * Duration timeout = root.duration("timeout", Duration.ofMillis(1), Duration.ofMinutes(1));
 * root.reportUnknownKeys(); // reports unknown keys
 * }</pre>
 */
public final class YamlFile {
    /** Longest file; a configuration of 17,000 client accounts has about 4 MiB. */
    private static final int MAX_FILE_BYTES = 32 * 1024 * 1024;

    private static final int MAX_DEPTH = 20;

    private YamlFile() {}

    /** Reads a file; empty if it cannot be read or is no mapping, which is added to the errors. */
    public static Optional<Section> read(Path file, List<SettingsError> errors) {
        try {
            return parse(file.toString(), Files.readString(file), errors);
        } catch (CharacterCodingException e) {
            errors.add(new SettingsError(file.toString(), 0, "the file is not UTF-8 text", "save it as UTF-8"));
        } catch (IOException e) {
            errors.add(new SettingsError(
                    file.toString(), 0, "cannot read the file: " + e, "check its path and permissions"));
        }
        return Optional.empty();
    }

    /** Parses text; the name stands for the file in errors. */
    public static Optional<Section> parse(String name, String text, List<SettingsError> errors) {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_FILE_BYTES);
        options.setNestingDepthLimit(MAX_DEPTH);
        try {
            Node root = new Yaml(options).compose(new StringReader(text));
            if (root instanceof MappingNode mapping) {
                return Optional.of(new Section(name, "", mapping, errors));
            }
            errors.add(new SettingsError(name, 1, "found no keys", "write lines of the form \"key: value\""));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            errors.add(new SettingsError(name, line, "not valid YAML: " + e.getProblem(), "correct the syntax"));
        } catch (YAMLException e) {
            errors.add(new SettingsError(name, 0, "not valid YAML: " + e.getMessage(), "correct the syntax"));
        }
        return Optional.empty();
    }
}
