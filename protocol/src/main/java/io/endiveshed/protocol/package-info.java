/**
 * Messages between entry daemons and sidecars.
 *
 * <p>A frame is a 4-byte big-endian length followed by one MessagePack array whose first element is the message type
 * and whose other elements are the fields in the order of the record. {@link io.endiveshed.protocol.MessageCodec} reads
 * and writes the array; the transport adds the length.
 */
package io.endiveshed.protocol;
