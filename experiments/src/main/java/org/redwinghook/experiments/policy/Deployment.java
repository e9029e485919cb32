package org.redwinghook.experiments.policy;

/** The two deployments of the design's table with their workloads. */
enum Deployment {
    /** Long care-guide drafts, quick fabric matches, stock lookups. */
    PARNA_MUHELY("Párna Műhely", "parna-muhely", "obriain-daughters", 1_000, 7.0, 4.0, 20, 420, 1.3),
    /** Correction notices, quick classification, status lookups. */
    OBRIAIN_DAUGHTERS("Ó Briain & Daughters", "obriain-daughters", "parna-muhely", 1_500, 9.5, 8.0, 15, 300, 1.3);

    private final String title;
    private final String owner;
    private final String otherOwner;
    private final long localLatencyMicros;
    private final double draftsPerSecond;
    private final double quickPerSecond;
    private final double lookupsPerSecond;
    private final double medianDraftTokens;
    private final double draftSpread;

    Deployment(
            String title,
            String owner,
            String otherOwner,
            long localLatencyMicros,
            double draftsPerSecond,
            double quickPerSecond,
            double lookupsPerSecond,
            double medianDraftTokens,
            double draftSpread) {
        this.title = title;
        this.owner = owner;
        this.otherOwner = otherOwner;
        this.localLatencyMicros = localLatencyMicros;
        this.draftsPerSecond = draftsPerSecond;
        this.quickPerSecond = quickPerSecond;
        this.lookupsPerSecond = lookupsPerSecond;
        this.medianDraftTokens = medianDraftTokens;
        this.draftSpread = draftSpread;
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

    /** One-way latency inside a region. */
    long localLatencyMicros() {
        return localLatencyMicros;
    }

    double perSecond(RequestKind kind) {
        return switch (kind) {
            case DRAFT -> draftsPerSecond;
            case QUICK -> quickPerSecond;
            case LOOKUP -> lookupsPerSecond;
        };
    }

    double medianDraftTokens() {
        return medianDraftTokens;
    }

    /** Standard deviation of the logarithm of the drafts' lengths. */
    double draftSpread() {
        return draftSpread;
    }
}
