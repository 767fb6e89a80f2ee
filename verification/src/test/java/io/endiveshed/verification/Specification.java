package io.endiveshed.verification;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import kodkod.engine.satlab.SATFactory;

/** An Alloy specification of the test resources, whose commands can be run by name. */
final class Specification {
    private static final A4Reporter REPORTER = new A4Reporter();
    private static final Path RESOURCES = Path.of("src/test/resources");

    private final String file;
    private final Module module;

    private Specification(String file) {
        this.file = file;
        this.module = CompUtil.parseEverything_fromFile(
                REPORTER, null, RESOURCES.resolve(file).toString());
    }

    static Specification of(String file) {
        return new Specification(file);
    }

    /** Runs a command: true means an instance of a {@code run}, or a counterexample of a {@code check}. */
    boolean isSatisfiable(String name) {
        Command command = module.getAllCommands().stream()
                .filter(candidate -> candidate.label.equals(name))
                .findFirst()
                .orElseThrow();
        A4Options options = new A4Options();
        options.solver = SATFactory.DEFAULT;
        long start = System.nanoTime();
        boolean satisfiable = TranslateAlloyToKodkod.execute_command(
                        REPORTER, module.getAllReachableSigs(), command, options)
                .satisfiable();
        System.out.println(
                file + " " + name + ": " + (System.nanoTime() - start) / 1_000_000 + " ms, solver " + options.solver);
        return satisfiable;
    }
}
