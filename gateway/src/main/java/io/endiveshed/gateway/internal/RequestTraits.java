package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.crash.RequestTrait;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

/**
 * Traits of one request, computed when they are first asked for, as most requests never need them. Confined to one event
 * loop.
 *
 * <pre>{@code
 * RequestTraits traits = new RequestTraits(request);
 * log.event("request.done").with("request_key", traits.key().value()).write();
 * }</pre>
 */
final class RequestTraits {
    /** Bytes of a digest that are kept; two of a day's requests share them by chance with a probability below 1e-10. */
    private static final int DIGEST_BYTES = 12;

    /** Maximum length in bytes of a body whose digest is computed even if nothing depends on it yet. */
    private static final int MAX_CHEAP_BODY_BYTES = 64 * 1024;

    private final AdmittedRequest request;
    private List<RequestTrait> traits;

    RequestTraits(AdmittedRequest request) {
        this.request = request;
    }

    /** Returns the trait that only repeats of the same request have. */
    RequestTrait key() {
        return all().get(0);
    }

    /** Returns whether the traits take little time to compute. */
    boolean areCheap() {
        return traits != null || request.caller().data().body().length <= MAX_CHEAP_BODY_BYTES;
    }

    /** Returns all traits, the most specific first. */
    List<RequestTrait> all() {
        if (traits == null) {
            traits = compute();
        }
        return traits;
    }

    /** Returns the parts of the request's prompt; no digest is computed for them. */
    List<RequestTrait> parts() {
        return request.caller().sharedParts().stream()
                .map(part -> new RequestTrait(RequestTrait.Kind.PROMPT_PART, part.value()))
                .toList();
    }

    private List<RequestTrait> compute() {
        String account = request.account().map(holder -> holder.id().value()).orElse("");
        String host = request.caller().host();
        byte[] body = request.caller().data().body();
        List<RequestTrait> computed = new ArrayList<>();
        computed.add(new RequestTrait(
                RequestTrait.Kind.REQUEST,
                digest(
                        body,
                        account,
                        host,
                        request.caller().data().method(),
                        request.caller().data().uri())));
        computed.add(new RequestTrait(
                RequestTrait.Kind.PATH,
                digest(body, account, host, request.caller().data().path())));
        computed.addAll(parts());
        return List.copyOf(computed);
    }

    /** Returns the digest of a body and of texts, each with its length, so that no text can end in the next one. */
    private static String digest(byte[] body, String... texts) {
        MessageDigest sha256 = sha256();
        for (String text : texts) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            sha256.update(
                    ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
            sha256.update(bytes);
        }
        sha256.update(body);
        byte[] digest = Arrays.copyOf(sha256.digest(), DIGEST_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(digest);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256; check the security settings", e);
        }
    }
}
