package org.redwinghook.operator;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.Future;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.usage.UsageFold;
import org.redwinghook.core.usage.UsageRecord;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.platform.LogRecord;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.usage.UsageReporter;

/** A command that evaluates the usage records on the log. */
public abstract class UsageRecordCommand extends PlatformCommand {

    private static final int RECORDS_PER_READ = 500;

    private final ObjectMapper mapper = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private final UsageFold usageFold = new UsageFold();
    private long firstRetainedOffset = 1;

    @Override
    protected final CommandResult run(OperatorSession session, Address logAddress, @Nullable Address vmListAddress) {
        LogClient client = new LogClient(session.vertx(), logAddress);
        return session.await(() -> readFrom(client, 1))
                .fold(
                        problem -> CommandResult.problem(
                                ExitCode.FAILED, "redwinghook: the log cannot be read: " + problem),
                        ignored -> createResult(usageFold, firstRetainedOffset));
    }

    /**
     * Creates the result of the command.
     *
     * @param usage sums of all retained records
     * @param firstOffset first retained offset; above 1, records of earlier processes are missing
     * @return the result
     */
    protected abstract CommandResult createResult(UsageFold usage, long firstOffset);

    private Future<Void> readFrom(LogClient client, long offset) {
        return client.read(UsageReporter.STREAM, offset, RECORDS_PER_READ).compose(page -> {
            if (offset < page.firstOffset()) {
                firstRetainedOffset = page.firstOffset();
                return readFrom(client, firstRetainedOffset);
            }
            page.records().forEach(this::addRecord);
            long next = nextOffset(page, offset);
            return next < page.nextOffset() ? readFrom(client, next) : Future.succeededFuture();
        });
    }

    private static long nextOffset(LogPage page, long offset) {
        int count = page.records().size();
        return count == 0
                ? Math.max(offset, page.nextOffset())
                : page.records().get(count - 1).offset() + 1;
    }

    // Records that are not usage records are skipped, as all readers do.
    private void addRecord(LogRecord entry) {
        try {
            usageFold.add(mapper.readValue(entry.data(), UsageRecord.class));
        } catch (IOException exception) {
            return;
        }
    }
}
