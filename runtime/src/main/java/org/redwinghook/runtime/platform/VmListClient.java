package org.redwinghook.runtime.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.http.BoundedRequest;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.json.UntrustedJson;
import org.redwinghook.runtime.settings.Address;

/**
 * Client of the platform's list of VMs, which may be out of date.
 *
 * <p>If the platform sends an entity tag, an unchanged list is neither transferred nor parsed again: transferring a
 * list of 960 VMs each second takes 40 times the bytes that a process may use.
 */
public final class VmListClient {

    /** Time after which a read fails, in milliseconds; the next one follows soon. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 2_000;

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_MODIFIED = 304;

    private final HttpClient client;
    private final Address address;
    private final long timeoutMillis;
    private @Nullable CachedList cachedList;

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance that runs the client
     * @param address address of the VM list
     */
    public VmListClient(Vertx vertx, Address address) {
        this(vertx, address, DEFAULT_TIMEOUT_MILLIS);
    }

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance that runs the client
     * @param address address of the VM list
     * @param timeoutMillis time after which a read fails, in milliseconds
     */
    public VmListClient(Vertx vertx, Address address, long timeoutMillis) {
        this.client = vertx.createHttpClient();
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads the list.
     *
     * @return all VMs of the list
     */
    public Future<List<Member>> read() {
        CachedList cached = cachedList;
        return client.request(HttpMethod.GET, address.port(), address.host(), "/vms")
                .compose(request -> {
                    if (cached != null) {
                        request.putHeader(HttpHeaders.IF_NONE_MATCH, cached.tag());
                    }
                    return BoundedRequest.send(request, Buffer.buffer(), timeoutMillis)
                            .compose(response -> handleResponse(response, cached));
                })
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private Future<List<Member>> handleResponse(HttpClientResponse response, @Nullable CachedList cached) {
        // The response refers to the list whose tag was sent; another read may have replaced the cached list meanwhile.
        if (response.statusCode() == HTTP_NOT_MODIFIED && cached != null) {
            return Future.succeededFuture(cached.members());
        }
        String tag = response.getHeader(HttpHeaders.ETAG);
        return MessageBody.read(response, timeoutMillis)
                .compose(body -> response.statusCode() == HTTP_OK
                        ? Future.succeededFuture(body)
                        : Future.failedFuture("the VM list answered with status " + response.statusCode()))
                .map(VmListClient::parseMembers)
                .onSuccess(members -> {
                    cachedList = tag == null ? null : new CachedList(tag, members);
                });
    }

    private static List<Member> parseMembers(Buffer body) {
        List<Member> members = new ArrayList<>();
        JsonArray items = UntrustedJson.parseArray(body);
        for (int index = 0; index < items.size(); index++) {
            JsonObject item = items.getJsonObject(index);
            members.add(new Member(
                    item.getString("vm"),
                    item.getString("dataCentre"),
                    "router".equals(item.getString("role")) ? ProcessRole.ROUTER : ProcessRole.SIDECAR,
                    item.getString("host"),
                    item.getInteger("peerPort"),
                    item.getInteger("adminPort"),
                    item.getString("service"),
                    item.getBoolean("leaving", false)));
        }
        return List.copyOf(members);
    }

    private record CachedList(String tag, List<Member> members) {}
}
