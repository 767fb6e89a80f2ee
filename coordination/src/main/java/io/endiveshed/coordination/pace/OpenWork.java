package io.endiveshed.coordination.pace;

/**
 * Unfinished work on one target, as far as this entry knows.
 *
 * @param requests number of open requests, including those of other entries if the entry is notified of them
 * @param prefillMillis predicted time in milliseconds in which the target prefills all prompts that are placed on it
 */
public record OpenWork(int requests, double prefillMillis) {}
