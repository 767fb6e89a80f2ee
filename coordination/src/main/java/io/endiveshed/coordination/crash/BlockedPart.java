package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.PromptPartId;

/**
 * Part of prompts that are refused because engines crash on it.
 *
 * @param part the part
 * @param ageMillis time in milliseconds since it was blocked
 */
public record BlockedPart(PromptPartId part, long ageMillis) {}
