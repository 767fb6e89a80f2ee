package io.endiveshed.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.settings.SettingsError;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class GatewaySettingsFileTest {
    private static final String COMPLETE_FILE = """
            instance: entry-1
            failure-domain: north
            callers: 10.0.0.1:80
            ready: 10.0.0.1:81
            metrics: 10.0.0.1:82
            peers: 10.0.0.1:83
            platform: 10.0.0.2:90
            bounds:
              revocation: 5000ms
              configuration-apply: 2s
              stop-grace: 8s
              contact-window: 3000ms
              drain: 2000ms
              unused-memory: 9000ms
              retry-share: 0.2
              retry-allowance: 106
              cold-overshoot: 1.5
              cold-allowance: 5
              evacuation: 5000ms
            """;

    /** Guards against a setting that ends up in the field of another one. */
    @Test
    void readsCompleteFile() {
        GatewaySettings settings =
                GatewaySettingsFile.parse("test", COMPLETE_FILE).get();
        assertThat(settings.callers().getPort()).isEqualTo(80);
        assertThat(settings.peers().getPort()).isEqualTo(83);
        assertThat(settings.platform().getHostString()).isEqualTo("10.0.0.2");
        assertThat(settings.bounds().revocation()).isEqualTo(Duration.ofSeconds(5));
        assertThat(settings.bounds().contactWindow()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.bounds().drain()).isEqualTo(Duration.ofSeconds(2));
        assertThat(settings.bounds().unusedMemory()).isEqualTo(Duration.ofSeconds(9));
        assertThat(settings.bounds().retryShare()).isEqualTo(0.2);
        assertThat(settings.bounds().retryAllowance()).isEqualTo(106.0);
        assertThat(settings.bounds().cold()).isEqualTo(new ColdBounds(1.5, 5));
        String without = COMPLETE_FILE.replace("  cold-overshoot: 1.5\n  cold-allowance: 5\n", "");
        assertThat(GatewaySettingsFile.parse("test", without).get().bounds().cold())
                .isEqualTo(new ColdBounds(1, 0));
        assertThat(settings.bounds().evacuation()).hasValue(Duration.ofSeconds(5));
    }

    /** Guards against a failure domain without a region, and against a table without rows that stops the process. */
    @Test
    void readsTheRegionsOfFailureDomains() {
        String empty = "region: \"here\"\nregions: {\n  }\n" + COMPLETE_FILE;
        assertThat(regionOf("north", empty)).hasValue(new Region("here"));
        assertThat(regionOf("south", empty)).isEmpty();
        String full = "regions: {\n  \"north\": \"a: b\",\n  \"south\": \"there\",\n  }\n" + COMPLETE_FILE;
        assertThat(regionOf("north", full)).hasValue(new Region("a: b"));
        assertThat(regionOf("south", full)).hasValue(new Region("there"));
        assertThat(regionOf("north", COMPLETE_FILE)).isEmpty();
    }

    private static Optional<Region> regionOf(String domain, String text) {
        return GatewaySettingsFile.parse("test", text).get().regions().of(new FailureDomain(domain));
    }

    /** Guards against a reader that stops at the first error, so that the operator must fix them one by one. */
    @Test
    void reportsAllErrorsWithTheirRemedies() {
        String text = COMPLETE_FILE
                .replace("callers: 10.0.0.1:80", "callers: nowhere")
                .replace("retry-share: 0.2", "retry-share: 7")
                .replace("  stop-grace: 8s\n", "")
                .replace("instance: entry-1", "instanze: entry-1");
        List<SettingsError> errors = GatewaySettingsFile.parse("test", text).getLeft();
        String all = errors.toString();
        assertThat(all).contains("callers");
        assertThat(all).contains("share from 0 to 1");
        assertThat(all).contains("stop-grace");
        assertThat(all).contains("instanze");
        errors.forEach(error -> assertThat(error.remedy()).isNotEmpty());
    }

    /** Guards against limits that are ignored, and against a total that a single response exceeds. */
    @Test
    void readsLimitsOfResponses() {
        String limits = "responses:\n  max-event: 64KiB\n  max-buffered: 1MiB\n  max-held: 4MiB\n";
        GatewaySettings settings =
                GatewaySettingsFile.parse("test", COMPLETE_FILE + limits).get();
        assertThat(settings.responses())
                .isEqualTo(new GatewaySettings.ResponseLimits(64 * 1024, 1024 * 1024, 4 * 1024 * 1024));
        assertThat(GatewaySettingsFile.parse("test", COMPLETE_FILE).get().responses())
                .isEqualTo(GatewaySettings.ResponseLimits.defaults());

        List<SettingsError> errors = GatewaySettingsFile.parse("test", COMPLETE_FILE + limits.replace("4MiB", "512KiB"))
                .getLeft();
        assertThat(errors.toString()).contains("max-held");
        errors.forEach(error -> assertThat(error.remedy()).isNotEmpty());
    }

    /** Guards against limits of requests that are ignored, and against a total that a single body exceeds. */
    @Test
    void readsLimitsOfClients() {
        String limits = """
                clients:
                  max-header: 8KiB
                  max-body: 1MiB
                  header-timeout: 3s
                  body-timeout: 20s
                  memory: 16MiB
                """;
        HttpServerLimits clients =
                GatewaySettingsFile.parse("test", COMPLETE_FILE + limits).get().clients();
        assertThat(clients.maxHeaderBytes()).isEqualTo(8 * 1024);
        assertThat(clients.maxBodyBytes()).isEqualTo(1024 * 1024);
        assertThat(clients.headerTimeout()).isEqualTo(Duration.ofSeconds(3));
        assertThat(clients.bodyTimeout()).isEqualTo(Duration.ofSeconds(20));
        assertThat(clients.maxBufferedBodyBytes()).isEqualTo(16 * 1024 * 1024);
        assertThat(GatewaySettingsFile.parse("test", COMPLETE_FILE).get().clients())
                .isEqualTo(ClientLimits.defaults());

        List<SettingsError> errors = GatewaySettingsFile.parse(
                        "test", COMPLETE_FILE + limits.replace("16MiB", "512KiB"))
                .getLeft();
        assertThat(errors.toString()).contains("memory");
        errors.forEach(error -> assertThat(error.remedy()).isNotEmpty());
    }

    /** Guards against an entry that does not start because the platform computed a bound that is no whole number. */
    @Test
    void readsBoundsWithFractions() {
        String text = COMPLETE_FILE
                .replace("retry-allowance: 106", "retry-allowance: 56.66666666666667")
                .replace("revocation: 5000ms", "revocation: 3333.5ms")
                .replace("stop-grace: 8s", "stop-grace: 7.25s");
        GatewaySettings.Bounds bounds =
                GatewaySettingsFile.parse("test", text).get().bounds();
        assertThat(bounds.retryAllowance()).isEqualTo(56.66666666666667);
        assertThat(bounds.revocation()).isEqualTo(Duration.ofNanos(3_333_500_000L));
        assertThat(bounds.stopGrace()).isEqualTo(Duration.ofMillis(7_250));
    }
}
