import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {
    /** Time after which a case is given up; its processes are ended then, too. */
    private static final long MAX_MILLIS = 110_000;

    private Case() {}

    /** What a case does. */
    interface Script {
        /** Returns whether the rule was broken. */
        boolean run(Record record, boolean hasTrouble) throws Exception;
    }

    /** Runs the script of the class that the first argument names, and writes the record to the file of the second. */
    public static void main(String[] arguments) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Threads.start("watchdog", () -> {
            Thread.sleep(MAX_MILLIS);
            System.err.println("the case took longer than " + MAX_MILLIS + " ms");
            System.exit(2);
        });
        try (Record record = new Record(Path.of(arguments[1]))) {
            try {
                record.line(hasTrouble ? "with the disruption" : "without the disruption");
                Script script = (Script) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
                boolean isBroken = script.run(record, hasTrouble);
                record.line(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
                code = isBroken ? 1 : 0;
            } catch (Exception e) {
                record.line("RESULT: the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
