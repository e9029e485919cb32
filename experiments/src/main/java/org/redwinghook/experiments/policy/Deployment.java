package org.redwinghook.experiments.policy;

/** The two reference deployments of the design with their workloads. */
enum Deployment {
    /** Long care-guide drafts, quick fabric matches, stock lookups. */
    PARNA_MUHELY("Párna Műhely", "parna-muhely", "obriain-daughters", 1_000, new Workload(6.0, 4.0, 20, 420, 1.3)),
    /** Correction notices, quick classification, status lookups. */
    OBRIAIN_DAUGHTERS(
            "Ó Briain & Daughters", "obriain-daughters", "parna-muhely", 1_500, new Workload(7.8, 8.0, 15, 300, 1.3));

    private final String title;
    private final String owner;
    private final String otherOwner;
    private final long localLatencyMicros;
    private final Workload workload;

    Deployment(String title, String owner, String otherOwner, long localLatencyMicros, Workload workload) {
        this.title = title;
        this.owner = owner;
        this.otherOwner = otherOwner;
        this.localLatencyMicros = localLatencyMicros;
        this.workload = workload;
    }

    String title() {
        return title;
    }

    String owner() {
        return owner;
    }

    String otherOwner() {
        return otherOwner;
    }

    /** One-way network latency within a region. */
    long localLatencyMicros() {
        return localLatencyMicros;
    }

    Workload workload() {
        return workload;
    }
}
