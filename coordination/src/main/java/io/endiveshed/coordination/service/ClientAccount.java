package io.endiveshed.coordination.service;

import io.endiveshed.base.id.ClientAccountId;
import java.util.OptionalInt;

/**
 * A client account of the desired state.
 *
 * @param id name of the account
 * @param priority priority that overrides that of the route; 0 is the most urgent
 * @param homeRegions regions that its requests may reach
 */
public record ClientAccount(ClientAccountId id, OptionalInt priority, HomeRegions homeRegions) {
    /** Creates an account whose requests may reach every region. */
    public ClientAccount(ClientAccountId id, OptionalInt priority) {
        this(id, priority, HomeRegions.UNRESTRICTED);
    }
}
