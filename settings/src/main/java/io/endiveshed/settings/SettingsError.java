package io.endiveshed.settings;

/**
 * A fault in a file of settings or configuration.
 *
 * @param file path of the file as the operator wrote it
 * @param line line from 1; 0 if the fault concerns the whole file
 * @param found what was found
 * @param remedy what to write instead
 */
public record SettingsError(String file, int line, String found, String remedy) {
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": " + found + "; remedy: " + remedy;
    }
}
