package org.redwinghook.experiments.capacity;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentSkipListMap;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.message.RawRecord;
import org.redwinghook.runtime.config.ConfigurationCodec;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.standins.log.LogSettings;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.vmlist.VmListStandIn;

/** Log and VM list for one or more measured processes. */
public final class FakePlatform {

    /** Service of the measured sidecars. */
    public static final String SERVICE = "model-0";

    /** Prefix of the names of customers, followed by a number from 0. */
    public static final String CUSTOMER_PREFIX = "customer-";

    private static final String LOOPBACK = "127.0.0.1";
    private static final String STREAM = "configuration";
    private static final String TEAM = "platform";
    private static final String OWNER = "parna-muhely";
    private static final int MODELS = 17;

    /** A section may have at most 64 KiB, and the entry of a customer has about 170 bytes. */
    private static final int CUSTOMERS_PER_SECTION = 300;

    private static final LogSettings LOG_SETTINGS = new LogSettings(10_000, 100_000, 3_600_000);
    private static final long MILLIS_PER_MINUTE = 60_000;

    private final Vertx vertx;
    private final LogStandIn log;
    private final VmListStandIn vmList;
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ConcurrentSkipListMap<Long, RawRecord> records = new ConcurrentSkipListMap<>();
    private int logPort;
    private int vmListPort;
    private long changedSectionVersion;

    /**
     * Creates a platform without starting it.
     *
     * @param vertx Vert.x instance of the platform
     * @param vms initial entries of the VM list
     */
    public FakePlatform(Vertx vertx, JsonArray vms) {
        this.vertx = vertx;
        log = new LogStandIn(vertx, 0, LOG_SETTINGS);
        vmList = new VmListStandIn(vertx, 0, vms);
    }

    /**
     * Starts the log and the VM list.
     *
     * @return completes when both listen
     */
    public Future<Void> start() {
        return log.start()
                .onSuccess(port -> logPort = port)
                .compose(port -> vmList.start())
                .onSuccess(port -> vmListPort = port)
                .mapEmpty();
    }

    /**
     * Port of the log.
     *
     * @return the port, 0 before the start
     */
    public int logPort() {
        return logPort;
    }

    /**
     * Port of the VM list.
     *
     * @return the port, 0 before the start
     */
    public int vmListPort() {
        return vmListPort;
    }

    /**
     * Writes a configuration with 17 models, then changes one customer periodically.
     *
     * @param customers number of customers, or 0 for no configuration
     * @param changesPerMinute rate of changes, or 0 for none
     * @return completes when the configuration is on the log
     */
    public Future<Void> publishConfiguration(int customers, int changesPerMinute) {
        if (customers == 0) {
            return Future.succeededFuture();
        }
        LogClient client = new LogClient(vertx, new Address(LOOPBACK, logPort));
        Map<String, String> models = new HashMap<>();
        for (int model = 0; model < MODELS; model++) {
            models.put(
                    "model-" + model, "{\"kind\":\"engine\",\"owner\":\"parna-muhely\",\"maximumOutputTokens\":4096}");
        }
        Future<Long> lastAppend = append(client, "owners", 0, Map.of(OWNER, "{\"weight\":1}"))
                .compose(ignored ->
                        append(client, "places", 0, Map.of(FakePeers.DATA_CENTRE, "{\"region\":\"hu-central\"}")))
                .compose(ignored -> append(client, "services", 0, models));
        for (int firstCustomer = 0; firstCustomer < customers; firstCustomer += CUSTOMERS_PER_SECTION) {
            Map<String, String> entries = new HashMap<>();
            for (int index = firstCustomer;
                    index < Math.min(customers, firstCustomer + CUSTOMERS_PER_SECTION);
                    index++) {
                entries.put(CUSTOMER_PREFIX + index, customerEntry(index, 0));
            }
            String section = "customers.team-" + firstCustomer / CUSTOMERS_PER_SECTION;
            lastAppend = lastAppend
                    .compose(ignored -> append(client, section, 0, entries))
                    .onSuccess(
                            offset -> changedSectionVersion = section.endsWith("-0") ? offset : changedSectionVersion);
        }
        return lastAppend
                .onSuccess(ignored -> scheduleChanges(client, changesPerMinute))
                .mapEmpty();
    }

    /**
     * Adds a VM to the list.
     *
     * @param entry entry of the VM
     */
    public void addVm(JsonObject entry) {
        vmList.add(entry);
    }

    /**
     * Appends a change of one customer.
     *
     * @return offset of the change
     */
    public Future<Long> changeCustomer() {
        return changeCustomer(new LogClient(vertx, new Address(LOOPBACK, logPort)));
    }

    /**
     * Credential of a customer.
     *
     * @param customer number of the customer
     * @return the bearer token
     */
    public static String credential(int customer) {
        return "key-" + customer;
    }

    /**
     * Offset of the newest record.
     *
     * @return the offset, or 0 if there is no record
     */
    public long newestOffset() {
        return records.isEmpty() ? 0 : records.lastKey();
    }

    /**
     * Records after an offset.
     *
     * @param offset the offset
     * @return records in order of their offsets
     */
    public List<RawRecord> recordsAfter(long offset) {
        return List.copyOf(records.tailMap(offset, false).values());
    }

    private void scheduleChanges(LogClient client, int changesPerMinute) {
        if (changesPerMinute == 0) {
            return;
        }
        vertx.setPeriodic(MILLIS_PER_MINUTE / changesPerMinute, ignored -> changeCustomer(client));
    }

    private Future<Long> changeCustomer(LogClient client) {
        Map<String, String> entry = Map.of(CUSTOMER_PREFIX + 0, customerEntry(0, changedSectionVersion));
        return append(client, "customers.team-0", changedSectionVersion, entry)
                .onSuccess(offset -> changedSectionVersion = offset);
    }

    private Future<Long> append(LogClient client, String section, long replaces, Map<String, String> entries) {
        SectionChange change = new SectionChange(
                section, TEAM, replaces, UUID.randomUUID().toString(), "capacity", entries, List.of());
        byte[] data = codec.encode(change);
        Buffer record = Buffer.buffer(data);
        // On a busy machine the append may exceed the client's timeout. A retry is safe, because a second copy of a
        // change is rejected by its version.
        return client.append(STREAM, record)
                .recover(failure -> client.append(STREAM, record))
                .recover(failure -> client.append(STREAM, record))
                .onSuccess(offset -> {
                    records.put(offset, new RawRecord(offset, System.currentTimeMillis(), data));
                });
    }

    private static String customerEntry(int index, long revision) {
        return new JsonObject()
                .put("owner", OWNER)
                .put(
                        "credentialHashes",
                        List.of(Hashing.sha256()
                                .hashString(credential(index), StandardCharsets.UTF_8)
                                .toString()))
                .put("requestsPerSecond", 5_000)
                .put("tokensPerMinute", 200_000_000 + revision)
                .encode();
    }
}
