package org.redwinghook.router.forward;

/**
 * What an engine reports about its end.
 *
 * @param outlook whether it leaves
 * @param remainingMillis time until it leaves when the report was made, in milliseconds, negative if it is not known
 */
public record EngineReport(Outlook outlook, long remainingMillis) {

    /** Report that says nothing usable. */
    public static final EngineReport UNCLEAR = new EngineReport(Outlook.UNCLEAR, -1);

    /** Whether an engine leaves. */
    public enum Outlook {
        /** The engine leaves. */
        LEAVES,
        /** The engine clearly does not leave. */
        STAYS,
        /** The report is of another instance, unreadable, or says neither. */
        UNCLEAR
    }
}
