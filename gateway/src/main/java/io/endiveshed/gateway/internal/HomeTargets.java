package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.service.DomainRegions;
import io.endiveshed.coordination.service.HomeRegions;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.gateway.CallerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The targets that a request may reach with regard to its home regions. Confined to one event loop. */
final class HomeTargets {
    /** Retry delay sent to a caller when the service has no target in a home region; it may be listed by then. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final Targets targets;
    private final AtomicValue<ServiceCatalog> catalog;
    private final DomainRegions regions;

    HomeTargets(Targets targets, AtomicValue<ServiceCatalog> catalog, DomainRegions regions) {
        this.targets = targets;
        this.catalog = catalog;
        this.regions = regions;
    }

    /** Returns the targets of the request's service in its home regions, in an order that is the same in all entries. */
    List<TargetRuntime> of(AdmittedRequest request) {
        List<TargetRuntime> all = targets.usableOf(request.service().name());
        HomeRegions home = homeRegions(request);
        return home.isRestricted()
                ? all.stream().filter(target -> isHome(home, target)).toList()
                : all;
    }

    /** Returns why no target may get the request, if the service has targets and none of them is in a home region. */
    Optional<Failure> refusal(AdmittedRequest request) {
        HomeRegions home = homeRegions(request);
        List<TargetRuntime> all = targets.usableOf(request.service().name());
        if (!home.isRestricted() || all.isEmpty() || all.stream().anyMatch(target -> isHome(home, target))) {
            return Optional.empty();
        }
        return Optional.of(Failure.of(ErrorKind.OUTSIDE_HOME_REGIONS)
                .message("no target of " + request.service().name() + " is in a home region of the request (" + home
                        + ")")
                .retryAfter(RETRY_DELAY)
                .build());
    }

    /**
     * Returns the regions that route and client account both allow at present; a stream may be resumed long after it was
     * admitted. The account of a key counts on public routes too.
     */
    private HomeRegions homeRegions(AdmittedRequest request) {
        ServiceCatalog current = catalog.read();
        CallerRequest caller = request.caller();
        RouteRule route = current.route(caller.host(), caller.data().path()).orElse(request.route());
        return caller.apiKey()
                .flatMap(current::account)
                .or(request::account)
                .map(account -> route.homeRegions().and(account.homeRegions()))
                .orElse(route.homeRegions());
    }

    private boolean isHome(HomeRegions home, TargetRuntime target) {
        return home.include(regions.of(target.instance().domain()));
    }
}
