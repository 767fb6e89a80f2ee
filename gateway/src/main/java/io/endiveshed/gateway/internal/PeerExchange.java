package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.limit.LimitNotice;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.gateway.EntryRecord;
import io.endiveshed.gateway.internal.PeerCodec.PeerIncarnation;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * Sends notices of the prompts that this entry places, and of targets that crash, to the other entries, and receives
 * theirs. Confined to one event loop.
 *
 * <p>Datagrams may be lost. A lost start makes predictions worse while its request runs, and a lost end is replaced by
 * the predicted end.
 */
final class PeerExchange implements FeedFollower.Listener<EntryRecord>, CrashNotices {
    /** Time without a datagram after which a peer counts as gone or unreachable, and its prompts no longer count. */
    private static final long PEER_TIMEOUT_NANOS = 2_000_000_000L;

    /** Maximum size of a datagram: changes of a feed and 4 KB for the rest. */
    private static final int MAX_DATAGRAM_BYTES = SharingCodec.MAX_CHANGES_BYTES + 4 * 1024;

    private final PeerIncarnation self;
    private final InetSocketAddress address;
    private final EventLoopGroup loops;
    private final EventLog log;
    private final PlacementListener listener;
    private final CrashListener crashListener;
    private final LimitListener limitListener;
    private final Runnable whenUnlisted;
    private ColdNotices coldNotices = ColdNotices.NONE;
    private final Map<InstanceId, InetSocketAddress> listedAddresses = new HashMap<>();
    private final Map<InstanceId, PeerState> activePeers = new HashMap<>();
    private final Map<InstanceId, FailureDomain> listedDomains = new HashMap<>();
    private BiConsumer<InstanceId, SharingMessage> sharingListener = (sender, message) -> {};
    private final OwnPlacements ownPlacements = new OwnPlacements();
    private Channel channel;
    private int lastOwner;
    private boolean isListed;
    private boolean isRestored;

    PeerExchange(
            PeerIncarnation self,
            InetSocketAddress address,
            EventLoopGroup loops,
            EventLog log,
            PlacementListener listener,
            CrashListener crashListener,
            LimitListener limitListener,
            Runnable whenUnlisted) {
        this.self = self;
        this.address = address;
        this.loops = loops;
        this.log = log;
        this.listener = listener;
        this.crashListener = crashListener;
        this.limitListener = limitListener;
        this.whenUnlisted = whenUnlisted;
    }

    /** Sets what is reported about cold targets, and what receives it. */
    void shareCold(ColdNotices notices) {
        coldNotices = notices;
    }

    void start() {
        channel = new Bootstrap()
                .group(loops)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        PeerCodec.read(ByteBufUtil.getBytes(packet.content())).ifPresent(message -> receive(message));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    void stop() {
        channel.close();
    }

    /** Returns the number of entries that the platform lists, including this one. */
    int listedEntryCount() {
        return listedAddresses.size() + 1;
    }

    /** Returns the other entries that the platform lists; empty before it has listed any. */
    Optional<Set<InstanceId>> listedEntries() {
        return isListed ? Optional.of(Set.copyOf(listedAddresses.keySet())) : Optional.empty();
    }

    /** Returns the other entries that have sent datagrams recently. */
    Set<InstanceId> heardEntries() {
        return Set.copyOf(activePeers.keySet());
    }

    /** Returns the other entries of a failure domain that are listed and have sent datagrams recently. */
    Set<InstanceId> heardIn(FailureDomain domain) {
        return activePeers.keySet().stream()
                .filter(entry -> domain.equals(listedDomains.get(entry)))
                .collect(Collectors.toSet());
    }

    /** Sets who receives what other entries share of the store. */
    void whenShared(BiConsumer<InstanceId, SharingMessage> listenerOfSharing) {
        sharingListener = listenerOfSharing;
    }

    /** Sends what this entry shares of the store to another one. */
    void share(InstanceId entry, SharingMessage message) {
        InetSocketAddress peerAddress = listedAddresses.get(entry);
        if (peerAddress != null) {
            byte[] bytes = PeerCodec.sharing(self, message);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peerAddress));
        }
    }

    /**
     * Returns whether all listed entries exchange datagrams with each other, as far as this entry receives their
     * heartbeats. Otherwise some of them learn only from the store what others have seen.
     */
    boolean isFullyConnected() {
        return isListed
                && unreachableEntries() == 0
                && activePeers.values().stream().allMatch(peer -> peer.unreachableEntries == 0);
    }

    /** Returns the number of listed entries of which this entry receives no heartbeats. */
    private int unreachableEntries() {
        return (int) listedAddresses.keySet().stream()
                .filter(entry -> !activePeers.containsKey(entry))
                .count();
    }

    /**
     * Returns the ages of the desired states that the active peers have told, in milliseconds, counting the time since
     * then.
     */
    List<Long> stateAgesMillis() {
        long nowNanos = System.nanoTime();
        List<Long> ages = new ArrayList<>();
        for (PeerState peer : activePeers.values()) {
            long sinceMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - peer.stateAgeReceivedNanos);
            // The age of a peer without a desired state is the largest number, to which nothing can be added.
            peer.stateAgeMillis.ifPresent(
                    age -> ages.add(age > Long.MAX_VALUE - sinceMillis ? age : age + sinceMillis));
        }
        return ages;
    }

    /**
     * Sends a heartbeat with the age of the own desired state, the blocked traits and the limits of targets to the peers,
     * and drops the peers that have sent none for too long.
     */
    void heartbeat(long stateAgeMillis, List<BlockedTrait> blocked, List<LimitNotice> limits) {
        sendToAll(
                PeerCodec.heartbeat(self, stateAgeMillis, blocked, limits, unreachableEntries(), coldNotices.toTell()));
        long nowNanos = System.nanoTime();
        for (Iterator<Map.Entry<InstanceId, PeerState>> peers =
                        activePeers.entrySet().iterator();
                peers.hasNext(); ) {
            Map.Entry<InstanceId, PeerState> peer = peers.next();
            if (nowNanos - peer.getValue().lastReceivedNanos > PEER_TIMEOUT_NANOS) {
                peers.remove();
                listener.ownerGone(peer.getValue().owner);
                log.change("peer.lost").with("entry", peer.getKey()).write();
            }
        }
    }

    /** Sends notice of a prompt that this entry has placed. */
    void started(PlacementNotice notice) {
        ownPlacements.started(notice, System.nanoTime());
        sendToAll(PeerCodec.started(self, notice));
    }

    /** Sends notice that a prompt has ended, and how many milliseconds of prefill each of its engines is spared. */
    void ended(long number, double remainingPrefillMillis) {
        ownPlacements.ended(number);
        sendToAll(PeerCodec.ended(self, number, remainingPrefillMillis));
    }

    @Override
    public void crashed(TargetCrash crash) {
        sendToAll(PeerCodec.crashed(self, crash));
    }

    @Override
    public void answered(List<AnsweredTrait> answers) {
        sendToAll(PeerCodec.answered(self, answers));
    }

    @Override
    public void listed(FeedBatch<EntryRecord> batch) {
        // After a restore of the store, entries that are missing in it but heard of write their records again.
        listedAddresses.keySet().retainAll(isRestored ? activePeers.keySet() : Set.of());
        boolean wasListed = isListed;
        isListed = true;
        isRestored = false;
        changed(batch);
        boolean isSelfListed = batch.events().stream()
                .anyMatch(event -> event.name().equals(self.instance().value()));
        if (wasListed && !isSelfListed) {
            whenUnlisted.run();
        }
    }

    @Override
    public void storeRestored() {
        isRestored = true;
    }

    @Override
    public void changed(FeedBatch<EntryRecord> batch) {
        for (FeedEvent<EntryRecord> event : batch.events()) {
            if (event.value().isEmpty()) {
                listedAddresses.keySet().removeIf(id -> id.value().equals(event.name()));
            } else if (!event.value().get().instance().equals(self.instance())) {
                EntryRecord record = event.value().get();
                Endpoint endpoint = record.peerAddress();
                listedAddresses.put(record.instance(), endpoint.socketAddress());
                listedDomains.remove(record.instance());
                record.domain().ifPresent(domain -> listedDomains.put(record.instance(), domain));
            }
        }
        listedDomains.keySet().retainAll(listedAddresses.keySet());
        sendPlacementsToNewPeers();
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {}

    private void sendToAll(byte[] bytes) {
        for (InetSocketAddress peerAddress : listedAddresses.values()) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peerAddress));
        }
        channel.flush();
    }

    private void receive(PeerDatagram datagram) {
        PeerIncarnation sender = datagram.sender();
        if (sender.instance().equals(self.instance())) {
            return;
        }
        PeerState peer = activePeers.get(sender.instance());
        if (peer == null || peer.startedMillis < sender.startedMillis()) {
            if (peer != null) {
                listener.ownerGone(peer.owner);
            }
            lastOwner++;
            peer = new PeerState(lastOwner, sender.startedMillis());
            activePeers.put(sender.instance(), peer);
            log.change("peer.found")
                    .with("entry", sender.instance())
                    .with("started", sender.startedMillis())
                    .write();
            sendPlacementsToNewPeers();
        }
        peer.lastReceivedNanos = System.nanoTime();
        if (datagram.heartbeat().isPresent()) {
            receiveHeartbeat(sender.instance(), peer, datagram.heartbeat().get());
        }
        int owner = peer.owner;
        datagram.started().ifPresent(notice -> listener.started(owner, notice));
        datagram.ended().ifPresent(end -> listener.ended(owner, end.number(), end.remainingPrefillMillis()));
        datagram.crash().ifPresent(crash -> crashListener.crashedElsewhere(sender.instance(), crash));
        datagram.sharing().ifPresent(message -> sharingListener.accept(sender.instance(), message));
        if (!datagram.answers().isEmpty()) {
            crashListener.answeredElsewhere(datagram.answers());
        }
    }

    private void receiveHeartbeat(InstanceId entry, PeerState peer, PeerCodec.Heartbeat heartbeat) {
        if (heartbeat.stateAgeMillis().isPresent()) {
            peer.stateAgeMillis = heartbeat.stateAgeMillis();
            peer.stateAgeReceivedNanos = peer.lastReceivedNanos;
        }
        peer.unreachableEntries = heartbeat.unreachableEntries();
        heartbeat.blocked().forEach(crashListener::blockedElsewhere);
        heartbeat.limits().forEach(notice -> limitListener.limitObservedElsewhere(entry, notice));
        heartbeat.cold().forEach(notice -> coldNotices.coldElsewhere(entry, notice));
    }

    /** Sends the prompts that run to each newly active peer, once the platform lists its address. */
    private void sendPlacementsToNewPeers() {
        for (Map.Entry<InstanceId, PeerState> peer : activePeers.entrySet()) {
            InetSocketAddress peerAddress = listedAddresses.get(peer.getKey());
            if (peer.getValue().wasSentPlacements || peerAddress == null) {
                continue;
            }
            peer.getValue().wasSentPlacements = true;
            for (PlacementNotice notice : ownPlacements.currentNotices(System.nanoTime())) {
                byte[] bytes = PeerCodec.started(self, notice);
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peerAddress));
            }
            channel.flush();
        }
    }

    /**
     * Receives the starts and ends of prompts that other entries place. Owners are small numbers above 0; a peer
     * gets a new one whenever it is found.
     */
    interface PlacementListener {
        /** Called when a prompt was placed; a notice may be repeated. */
        void started(int owner, PlacementNotice notice);

        /** Called when a prompt has ended, with the prefill in milliseconds that each of its engines is spared. */
        void ended(int owner, long number, double remainingPrefillMillis);

        /** Called when an owner was restarted or sent no datagram for too long; its prompts no longer count. */
        void ownerGone(int owner);
    }

    /** State of a peer that has sent datagrams recently. */
    private static final class PeerState {
        private final int owner;
        private final long startedMillis;
        private long lastReceivedNanos;
        private OptionalLong stateAgeMillis = OptionalLong.empty();
        private long stateAgeReceivedNanos;
        private boolean wasSentPlacements;
        private int unreachableEntries;

        private PeerState(int owner, long startedMillis) {
            this.owner = owner;
            this.startedMillis = startedMillis;
        }
    }
}
