package io.endiveshed.protocol;

/**
 * One HTTP header field.
 *
 * @param name field name
 * @param value field value
 */
public record Header(String name, String value) {}
