package io.endiveshed.coordination.crash;

/**
 * Trait of a request that was answered.
 *
 * @param trait the trait
 * @param ageMillis time in milliseconds since the answer
 */
public record AnsweredTrait(RequestTrait trait, long ageMillis) {}
