package io.endiveshed.coordination.pace;

/**
 * Load that a target reports in an answer.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests that wait for a slot
 * @param slots number of requests that it can run at once
 */
public record ReportedLoad(int running, int waiting, int slots) {}
