package io.endiveshed.settings;

/**
 * Error in a settings or configuration file.
 *
 * @param file path of the file as the operator gave it
 * @param line line of the error, counted from 1; 0 if the error concerns the whole file
 * @param found description of the invalid content
 * @param remedy instruction that corrects the error
 */
public record SettingsError(String file, int line, String found, String remedy) {
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": " + found + "; remedy: " + remedy;
    }
}
