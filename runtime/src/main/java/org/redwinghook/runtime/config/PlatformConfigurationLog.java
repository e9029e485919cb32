package org.redwinghook.runtime.config;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.LogPage;

/** The configuration stream, accessed through the client of the platform's log service. */
public final class PlatformConfigurationLog implements ConfigurationLog {

    private final LogClient client;

    /**
     * Creates the log.
     *
     * @param client client of the log service
     */
    public PlatformConfigurationLog(LogClient client) {
        this.client = client;
    }

    @Override
    public Future<LogPage> read(long firstOffset, int maximumRecords) {
        return client.read(STREAM, firstOffset, maximumRecords);
    }

    @Override
    public Future<Long> append(byte[] data) {
        return client.append(STREAM, Buffer.buffer(data));
    }
}
