package io.endiveshed.net.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Server on a loopback socket whose script writes raw bytes. */
final class RawServer implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket server = new ServerSocket();
    private final Thread acceptor;

    RawServer(Script script) throws IOException {
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        acceptor = new Thread(() -> accept(script), "raw-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            // The kernel keeps the port open until the thread that waits in accept has returned.
            acceptor.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept(Script script) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread connection = new Thread(() -> serve(script, socket), "raw-server-connection");
                connection.setDaemon(true);
                connection.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Script script, Socket socket) {
        try (socket) {
            script.serve(
                    socket, new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8)));
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    /** Serves one connection. */
    interface Script {
        void serve(Socket socket, BufferedReader input) throws IOException;
    }
}
