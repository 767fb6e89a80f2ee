package io.endiveshed.coordination.service;

import io.endiveshed.base.id.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The desired state as requests use it: routes by host, services by name, client accounts by key. Immutable. */
public final class ServiceCatalog {
    /** Version of {@link #NONE}. */
    public static final long NO_VERSION = -1;

    /** The catalog of a process that knows no desired state yet. */
    public static final ServiceCatalog NONE = new ServiceCatalog(NO_VERSION, List.of(), List.of(), Map.of(), false);

    private final long version;
    private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceRule> services = new HashMap<>();
    private final Map<String, ClientAccount> accountsByKey;
    private final boolean keysRequired;

    /**
     * Makes a catalog.
     *
     * @param version version that the operator gave
     * @param routes routes in any order
     * @param services services
     * @param accountsByKey client accounts by key
     * @param keysRequired whether requests on routes that are not open need a key
     */
    public ServiceCatalog(
            long version,
            List<RouteRule> routes,
            List<ServiceRule> services,
            Map<String, ClientAccount> accountsByKey,
            boolean keysRequired) {
        this.version = version;
        this.accountsByKey = Map.copyOf(accountsByKey);
        this.keysRequired = keysRequired;
        services.forEach(service -> this.services.put(service.name(), service));
        routes.forEach(route -> routesByHost
                .computeIfAbsent(route.host(), host -> new ArrayList<>())
                .add(route));
        Comparator<RouteRule> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /** Returns the operator's version. */
    public long version() {
        return version;
    }

    /** Tells whether there is a desired state. */
    public boolean isKnown() {
        return version != NO_VERSION;
    }

    /** Returns the route with the longest prefix of the path, if the host has one. */
    public Optional<RouteRule> route(String host, String path) {
        List<RouteRule> routes = routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        for (RouteRule route : routes) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns a service. */
    public Optional<ServiceRule> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the client account that holds a key. */
    public Optional<ClientAccount> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Tells whether requests on routes that are not open need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the number of routes, services and keys, for logs. */
    public String summary() {
        int routes = routesByHost.values().stream().mapToInt(List::size).sum();
        return routes + " routes, " + services.size() + " services, " + accountsByKey.size() + " keys";
    }
}
