package io.endiveshed.verification;

import static com.google.common.truth.Truth.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.Test;

/** Checks the specification of leases and fencing in {@code lease.als}, and that it finds faults. */
final class LeaseSpecificationTest {
    private static final A4Reporter REPORTER = new A4Reporter();

    private final Module module = CompUtil.parseEverything_fromFile(
            REPORTER, null, Path.of("src/test/resources/lease.als").toString());

    /** Guards against a protocol in which the order of a paused holder takes effect after that of a newer one. */
    @Test
    void noStaleOrderTakesEffect() {
        assertThat(isSatisfiable("fenced")).isFalse();
        assertThat(isSatisfiable("secondOrderTakesEffect")).isTrue();
    }

    /** Guards against a specification that cannot see the fault of a sidecar that checks no tokens. */
    @Test
    void uncheckedTokenGivesACounterexample() {
        assertThat(isSatisfiable("tokenNotChecked")).isTrue();
    }

    /** Guards against a specification that cannot see the fault of a sidecar that does not read the lease at start. */
    @Test
    void unreadLeaseGivesACounterexample() {
        assertThat(isSatisfiable("leaseNotRead")).isTrue();
    }

    private boolean isSatisfiable(String name) {
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
                "lease.als " + name + ": " + (System.nanoTime() - start) / 1_000_000 + " ms, solver " + options.solver);
        return satisfiable;
    }
}
