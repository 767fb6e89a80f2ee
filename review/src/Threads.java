import java.io.IOException;

/** Starts threads that do not keep the process alive. */
final class Threads {
    private Threads() {}

    /** A task that may fail because its connection ends. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection has ended.
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
