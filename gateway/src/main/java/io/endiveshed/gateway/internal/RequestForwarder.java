package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.service.AccessPolicy.AccessGrant;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.gateway.CallerRequest;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.ResponseSink;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/** Admits or rejects each request of a caller and forwards the admitted ones. Confined to one event loop. */
final class RequestForwarder implements HttpHandler {
    /** Retry delay sent to a caller by an entry that is about to stop; another entry can serve the retry at once. */
    private static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(100);

    /** Factor that maps the 31 upper bits of a hash to [0, 1). */
    private static final double UNIT_PER_HASH_STEP = 0x1.0p-31;

    private final GatewayContext context;
    private final StartupRequestQueue startupQueue;
    private boolean refusesNew;
    private final Set<ForwardedRequest> openRequests = new HashSet<>();
    private int openRequestCount;

    RequestForwarder(GatewayContext context, StartupRequestQueue startupQueue) {
        this.context = context;
        this.startupQueue = startupQueue;
    }

    /** Refuses requests from now on, as there may not be enough time left to finish them. */
    void refuseNewRequests() {
        refusesNew = true;
    }

    /** Ends all open requests, because the process is about to end. */
    void endOpenRequests() {
        List.copyOf(openRequests).forEach(ForwardedRequest::processEnds);
    }

    /** Returns the number of forwarded requests whose response has not ended. */
    int openRequestCount() {
        return openRequestCount;
    }

    @Override
    public void handle(HttpRequestData data, ResponseSink sink) {
        long arrivedNanos = System.nanoTime();
        if (!startupQueue.offer(arrivedNanos, () -> admit(data, sink, arrivedNanos))) {
            admit(data, sink, arrivedNanos);
        }
    }

    /** Decodes a request and checks its access, and then forwards or rejects it. */
    private void admit(HttpRequestData data, ResponseSink sink, long arrivedNanos) {
        Either<Failure, CallerRequest> decoded = context.dialect().decodeRequest(data);
        if (decoded.isLeft()) {
            reject(sink, "unknown", decoded.getLeft());
            return;
        }
        CallerRequest caller = decoded.get();
        if (refusesNew) {
            reject(
                    sink,
                    caller.id(),
                    Failure.of(ErrorKind.STOPPING)
                            .message("this entry is stopping")
                            .retryAfter(STOPPING_RETRY_DELAY)
                            .build());
            return;
        }
        ServiceCatalog catalog = context.catalog().read();
        long catalogAgeMillis = context.catalogAgeMillis().getAsLong();
        Either<Failure, AccessGrant> access =
                context.access().decide(catalog, catalogAgeMillis, caller.host(), data.path(), caller.apiKey());
        if (access.isLeft()) {
            reject(sink, caller.id(), access.getLeft());
            return;
        }
        forward(catalog, caller, access.get(), arrivedNanos, sink);
    }

    private void forward(
            ServiceCatalog catalog, CallerRequest caller, AccessGrant access, long arrivedNanos, ResponseSink sink) {
        RouteRule route = access.route();
        ServiceName name = route.selectService(fraction(caller.id()));
        Optional<ServiceRule> service = catalog.service(name);
        if (service.isEmpty()) {
            reject(
                    sink,
                    caller.id(),
                    Failure.of(ErrorKind.NO_TARGET)
                            .message("route " + route.name() + " names the unknown service " + name)
                            .build());
            return;
        }
        long timeoutMillis = Math.min(caller.timeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        AdmittedRequest request = new AdmittedRequest(
                caller,
                route,
                service.get(),
                access.account(),
                arrivedNanos,
                arrivedNanos + Duration.ofMillis(timeoutMillis).toNanos());
        openRequestCount++;
        AtomicReference<ForwardedRequest> forwarded = new AtomicReference<>();
        forwarded.set(new ForwardedRequest(context, request, sink, () -> ended(forwarded.get())));
        openRequests.add(forwarded.get());
        forwarded.get().start();
    }

    private void ended(ForwardedRequest request) {
        openRequests.remove(request);
        openRequestCount--;
    }

    /** Returns a number in [0, 1) that depends only on the request's id. */
    private static double fraction(String id) {
        return ((id.hashCode() * 0x9E3779B9) >>> 1) * UNIT_PER_HASH_STEP;
    }

    private void reject(ResponseSink sink, String requestId, Failure failure) {
        context.metrics().count("rejected;kind=" + failure.kind().code());
        context.log()
                .event("request.rejected")
                .with("request", requestId)
                .with("kind", failure.kind().code())
                .with("reason", failure.message())
                .with("state_version", context.catalog().read().version())
                .with("state_age_ms", context.catalogAgeMillis().getAsLong())
                .write();
        FailureResponder.send(context.dialect(), sink, failure, Double.MAX_VALUE);
    }
}
