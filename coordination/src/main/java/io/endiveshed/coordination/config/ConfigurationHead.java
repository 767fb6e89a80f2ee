package io.endiveshed.coordination.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.endiveshed.base.id.Revision;
import io.endiveshed.ports.platform.ObjectKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The object that makes a configuration current.
 *
 * @param revision revision
 * @param pieces names of the pieces
 * @param nonce drawn by the writer, to recognise its own write after a lost reply
 * @param recent nonces of earlier heads, the newest first, to recognise an own write that was already superseded
 */
public record ConfigurationHead(Revision revision, List<String> pieces, String nonce, List<String> recent) {
    /** Kind of the head object; pieces have another kind, so that they do not wake watches of the head. */
    public static final String KIND = "configuration-head";

    /** Name of the head object. */
    public static final ObjectKey KEY = new ObjectKey(KIND, "head");

    /** Kind of pieces. */
    public static final String PIECE_KIND = "configuration-piece";

    /** Nonces of earlier heads that are kept. */
    static final int MAX_RECENT = 16;

    /** Copies the lists. */
    public ConfigurationHead {
        pieces = List.copyOf(pieces);
        recent = List.copyOf(recent);
    }

    /** Returns the key of a piece. */
    public static ObjectKey pieceKey(String name) {
        return new ObjectKey(PIECE_KIND, name);
    }

    /** Returns the head that follows this one. */
    ConfigurationHead next(List<String> newPieces, String newNonce) {
        List<String> nonces = new ArrayList<>();
        nonces.add(nonce);
        nonces.addAll(recent);
        return new ConfigurationHead(
                revision.next(), newPieces, newNonce, nonces.subList(0, Math.min(MAX_RECENT, nonces.size())));
    }

    /** Tells whether the writer of the nonce has written this head or one of the recent heads. */
    boolean includes(String writerNonce) {
        return nonce.equals(writerNonce) || recent.contains(writerNonce);
    }

    /** Writes the head. */
    byte[] encode() {
        JsonObject tree = new JsonObject();
        tree.addProperty("revision", revision.value());
        tree.add("pieces", ConfigurationJson.texts(pieces));
        tree.addProperty("nonce", nonce);
        tree.add("recent", ConfigurationJson.texts(recent));
        return tree.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a head; throws a {@link RuntimeException} for another form. */
    public static ConfigurationHead decode(byte[] bytes) {
        JsonObject tree = JsonParser.parseString(new String(bytes, StandardCharsets.UTF_8))
                .getAsJsonObject();
        return new ConfigurationHead(
                new Revision(tree.get("revision").getAsLong()),
                ConfigurationJson.readTexts(tree, "pieces"),
                tree.get("nonce").getAsString(),
                ConfigurationJson.readTexts(tree, "recent"));
    }
}
