package org.redwinghook.runtime.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.settings.Address;

/** Client of the platform's list of VMs. The list lags behind the truth. */
public final class VmListClient {

    private static final long TIMEOUT_MILLIS = 2_000;

    private final HttpClient client;
    private final Address address;

    /**
     * Creates a client.
     *
     * @param vertx runs it
     * @param address the VM list
     */
    public VmListClient(Vertx vertx, Address address) {
        this.client = vertx.createHttpClient();
        this.address = address;
    }

    /**
     * Reads the list.
     *
     * @return all members
     */
    public Future<List<Member>> read() {
        return client.request(HttpMethod.GET, address.port(), address.host(), "/vms")
                .compose(request -> request.send())
                .compose(HttpClientResponse::body)
                .map(VmListClient::members)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static List<Member> members(Buffer body) {
        List<Member> members = new ArrayList<>();
        JsonArray items = body.toJsonArray();
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
}
