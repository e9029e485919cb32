package org.redwinghook.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates an engine that decodes one token of each running request in each step. */
final class EndpointDriver {

    private final AdmissionController controller;
    private final Map<Long, Integer> remaining = new LinkedHashMap<>();
    private final Map<Long, WorkItem> running = new LinkedHashMap<>();
    private final Map<Long, Integer> outputs = new LinkedHashMap<>();
    private final Map<String, Integer> tokensByOwner = new LinkedHashMap<>();
    private final Map<String, Integer> tokensByCustomer = new LinkedHashMap<>();
    private long lastIdentifier;
    private long nowMillis;

    EndpointDriver(AdmissionController controller) {
        this.controller = controller;
    }

    long nowMillis() {
        return nowMillis;
    }

    int limit() {
        return controller.load(true, nowMillis).concurrencyLimit();
    }

    int running() {
        return running.size();
    }

    boolean isRunning(long identifier) {
        return running.containsKey(identifier);
    }

    int tokensOfOwner(String owner) {
        return tokensByOwner.getOrDefault(owner, 0);
    }

    int tokensOfCustomer(String customer) {
        return tokensByCustomer.getOrDefault(customer, 0);
    }

    int memoryTokens() {
        int memory = 0;
        for (WorkItem item : running.values()) {
            memory += item.promptTokens() + outputs.get(item.identifier()) - remaining.get(item.identifier());
        }
        return memory;
    }

    /** Offers a request that the engine ends after a number of tokens. */
    Offer offer(String owner, String customer, int promptTokens, int maximumTokens, int outputTokens) {
        lastIdentifier++;
        WorkItem item = new WorkItem(
                lastIdentifier, owner, customer, 0, promptTokens, maximumTokens, nowMillis, nowMillis + 600_000);
        outputs.put(lastIdentifier, outputTokens);
        AdmissionDecision decision = controller.offer(item);
        if (decision == AdmissionDecision.ADMITTED) {
            start(item);
        }
        return new Offer(lastIdentifier, decision);
    }

    void step(long millis) {
        nowMillis += millis;
        List<Long> ended = new ArrayList<>();
        for (WorkItem item : running.values()) {
            controller.recordTokens(item.identifier(), 1, nowMillis);
            tokensByOwner.merge(item.owner(), 1, Integer::sum);
            tokensByCustomer.merge(item.customer(), 1, Integer::sum);
            if (remaining.merge(item.identifier(), -1, Integer::sum) <= 0) {
                ended.add(item.identifier());
            }
        }
        for (Long identifier : ended) {
            running.remove(identifier);
            controller.recordEnd(identifier, true, nowMillis);
        }
        controller.admitWaiting(nowMillis).forEach(this::start);
    }

    /** Advances the time without a token. */
    void pause(long millis) {
        nowMillis += millis;
    }

    /** Offers short requests at a constant gap between tokens until the limit reaches a value. */
    void warmUp(int limit, long gapMillis) {
        for (int step = 0; step < 10_000 && limit() < limit; step++) {
            while (running.size() < limit()
                    && !offer("warm", "warm", 10, 32, 32).decision().isRefusal()) {
                if (controller.load(true, nowMillis).queued() > 0) {
                    break;
                }
            }
            step(gapMillis);
        }
    }

    private void start(WorkItem item) {
        running.put(item.identifier(), item);
        remaining.put(item.identifier(), outputs.get(item.identifier()));
    }

    record Offer(long identifier, AdmissionDecision decision) {}
}
