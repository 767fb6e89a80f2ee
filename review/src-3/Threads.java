import java.io.Closeable;
import java.io.IOException;

/** Daemon threads whose I/O errors end them, as connections break in these cases. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws IOException;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The peer or the case closed the connection.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
