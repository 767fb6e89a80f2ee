package io.endiveshed.base.id;

/**
 * Id of a part of a prompt, which other prompts may have in common with it.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record PromptPartId(String value) {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public PromptPartId {
        NameFormat.check("prompt part id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
