import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a runner, which registers itself in the store; a behaviour answers its requests. */
final class Runner implements AutoCloseable {
    /** Handles one request whose head was read; the body is still to be read from the connection. */
    interface Behaviour {
        /** Returns whether the connection stays open. */
        boolean handle(Runner runner, Http.Head head, Connection connection) throws IOException;
    }

    /** One connection of a caller. */
    record Connection(Socket socket, BufferedInputStream in, OutputStream out) {}

    private final String id;
    private final String service;
    private final Behaviour behaviour;
    private final ServerSocket socket;
    private final long born = System.currentTimeMillis();
    private final Map<Socket, Boolean> connections = new ConcurrentHashMap<>();
    private long beats;

    Runner(String id, String service, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        this.socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.start(id, this::accept);
    }

    String id() {
        return id;
    }

    /** Writes the runner's entry in the store, as it does in each heartbeat. */
    void beat(Store store, String state) {
        beats++;
        store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                        + "\",\"coldRemainingMs\":0,\"sequenceNumber\":" + beats + ",\"born\":" + born + "}");
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            connections.put(connection, true);
            Threads.start(id + " connection", () -> {
                try (connection) {
                    serve(connection);
                } finally {
                    connections.remove(connection);
                }
            });
        }
    }

    private void serve(Socket socketOfCaller) throws IOException {
        Connection connection = new Connection(
                socketOfCaller,
                new BufferedInputStream(socketOfCaller.getInputStream()),
                socketOfCaller.getOutputStream());
        boolean isOpen = true;
        while (isOpen) {
            Http.Head head = Http.readHead(connection.in);
            if (head == null) {
                return;
            }
            if (!id.equals(head.field("Expected-Runner"))) {
                Http.readRequestBody(head, connection.in);
                send(connection, 421, head, "", "");
                continue;
            }
            isOpen = behaviour.handle(this, head, connection);
        }
    }

    /** Sends a whole answer; a success and a failure of the runner bear its signature. */
    void send(Connection connection, int status, Http.Head request, String fields, String body) throws IOException {
        connection.out.write(answer(status, request, fields, body));
        connection.out.flush();
    }

    /** Returns the bytes of a whole answer. */
    byte[] answer(int status, Http.Head request, String fields, String body) {
        return Http.bytes("HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + request.field("Attempt-Id")
                + "\r\nResponse-Signature: " + signature(request.field("Attempt-Id")) + "\r\n" + fields
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    String signature(String attempt) {
        return id + "." + attempt;
    }

    @Override
    public void close() {
        Threads.close(socket);
        connections.keySet().forEach(Threads::close);
    }
}
