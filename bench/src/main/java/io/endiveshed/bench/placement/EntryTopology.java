package io.endiveshed.bench.placement;

/**
 * Entries that place prompts on the same engines, spread over failure domains like the engines. Each entry learns of the
 * placements of another after the network delay between them.
 *
 * @param entries number of entries
 * @param domains number of failure domains
 * @param delayWithinMillis one-way delay within a failure domain in milliseconds
 * @param delayBetweenMillis one-way delay between failure domains in milliseconds
 */
record EntryTopology(int entries, int domains, double delayWithinMillis, double delayBetweenMillis) {
    /** Returns the failure domain of the entry or engine with the given index. */
    int domainOf(int index) {
        return index % domains;
    }

    /** Returns the one-way delay between two failure domains in milliseconds. */
    double delayMillis(int domain, int otherDomain) {
        return domain == otherDomain ? delayWithinMillis : delayBetweenMillis;
    }
}
