/** Desired states of the operator. */
final class Config {
    private Config() {}

    static String route(String name, String prefix, String kind, int timeoutMillis, int attempts, String service) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"a.example\",\"pathPrefix\":\"" + prefix
                + "\",\"routeKind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":300,\"priority\":1,\"maxAttempts\":" + attempts
                + ",\"public\":false,\"streamResumption\":" + kind.equals("streaming")
                + ",\"gapAimMs\":250,\"service\":\"" + service + "\"}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name
                + "\",\"healthCheckPath\":\"/health\",\"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Service of model runners, with the engine of the small site files. */
    static String engineService(String name) {
        return "{\"name\":\"" + name
                + "\",\"healthCheckPath\":\"/health\",\"connectionLimit\":284,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":11,\"kvCapacityTokens\":405000,\"kvBytes\":163840,\"linkMbps\":400000.0,"
                + "\"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.00133,"
                + "\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,"
                + "\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":8,\"delays\":[],"
                + "\"usual\":{\"prompt\":11301,\"answer\":1266},\"hopMs\":0.1}}";
    }

    static String state(long version, String keys, String services, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[" + keys + "]}]}";
    }
}
