package org.redwinghook.runtime.process;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;

/**
 * Formats each log event as one line: UTC time, level, simple class name and message. The pattern layout and the date
 * formatters of the libraries would take a tenth of the processor time of a start.
 */
final class LineLayout extends LayoutBase<ILoggingEvent> {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long SECONDS_PER_MINUTE = 60;
    private static final long SECONDS_PER_HOUR = 3_600;
    private static final long SECONDS_PER_DAY = 86_400;

    /** Days between 0000-03-01 and 1970-01-01 in the proleptic Gregorian calendar. */
    private static final long EPOCH_SHIFT_DAYS = 719_468;

    private static final long DAYS_PER_ERA = 146_097;
    private static final long YEARS_PER_ERA = 400;

    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(160);
        appendTime(line, event.getTimeStamp());
        String logger = event.getLoggerName();
        line.append(' ')
                .append(event.getLevel())
                .append(' ')
                .append(logger, logger.lastIndexOf('.') + 1, logger.length())
                .append(' ')
                .append(event.getFormattedMessage())
                .append('\n');
        if (event.getThrowableProxy() != null) {
            line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line.toString();
    }

    static void appendTime(StringBuilder line, long epochMillis) {
        long seconds = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        appendDate(line, Math.floorDiv(seconds, SECONDS_PER_DAY));
        long secondOfDay = Math.floorMod(seconds, SECONDS_PER_DAY);
        line.append('T');
        appendPadded(line, secondOfDay / SECONDS_PER_HOUR, 2);
        line.append(':');
        appendPadded(line, secondOfDay % SECONDS_PER_HOUR / SECONDS_PER_MINUTE, 2);
        line.append(':');
        appendPadded(line, secondOfDay % SECONDS_PER_MINUTE, 2);
        line.append('.');
        appendPadded(line, Math.floorMod(epochMillis, MILLIS_PER_SECOND), 3);
        line.append('Z');
    }

    /**
     * Appends the Gregorian date of a number of days since 1970-01-01. Years are counted from March, so that a leap day
     * is the last day of its year.
     */
    private static void appendDate(StringBuilder line, long epochDays) {
        long days = epochDays + EPOCH_SHIFT_DAYS;
        long era = Math.floorDiv(days, DAYS_PER_ERA);
        long dayOfEra = Math.floorMod(days, DAYS_PER_ERA);
        long yearOfEra = (dayOfEra - dayOfEra / 1_460 + dayOfEra / 36_524 - dayOfEra / 146_096) / 365;
        long dayOfYear = dayOfEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
        long monthFromMarch = (5 * dayOfYear + 2) / 153;
        long day = dayOfYear - (153 * monthFromMarch + 2) / 5 + 1;
        long month = monthFromMarch < 10 ? monthFromMarch + 3 : monthFromMarch - 9;
        long year = yearOfEra + era * YEARS_PER_ERA + (month <= 2 ? 1 : 0);
        appendPadded(line, year, 4);
        line.append('-');
        appendPadded(line, month, 2);
        line.append('-');
        appendPadded(line, day, 2);
    }

    private static void appendPadded(StringBuilder line, long number, int digits) {
        String text = Long.toString(number);
        for (int missing = digits - text.length(); missing > 0; missing--) {
            line.append('0');
        }
        line.append(text);
    }
}
