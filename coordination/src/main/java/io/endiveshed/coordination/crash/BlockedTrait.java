package io.endiveshed.coordination.crash;

/**
 * Trait of requests that are refused because targets crash under them.
 *
 * @param trait the trait
 * @param ageMillis time in milliseconds since it was blocked
 * @param remainingMillis time in milliseconds for which it is still blocked
 */
public record BlockedTrait(RequestTrait trait, long ageMillis, long remainingMillis) {}
