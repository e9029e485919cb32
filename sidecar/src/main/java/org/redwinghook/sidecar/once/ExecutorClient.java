package org.redwinghook.sidecar.once;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.KeyAnswer;
import org.redwinghook.core.message.KeyQuestion;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.once.ExecutorIdentity;
import org.redwinghook.core.once.OperationKey;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.WireMetrics;

/**
 * Asks other executors about their attempts, using a new connection for each question. The VM list is read again if an
 * executor is not on it or does not answer.
 */
public final class ExecutorClient {

    /** Timeout of connecting and of an answer; an executor that takes longer counts as unreachable. */
    private static final int TIMEOUT_MILLIS = 1_000;

    private static final long EXCHANGE_NUMBER = 1;

    private final NetClient client;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Supplier<Future<List<Member>>> members;
    private final Supplier<Hello> hello;
    private List<Member> knownMembers = List.of();

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance of the process
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     * @param members reads the VM list
     * @param hello supplies the hello message of this sidecar
     */
    public ExecutorClient(
            Vertx vertx,
            FrameCodec codec,
            WireMetrics metrics,
            Supplier<Future<List<Member>>> members,
            Supplier<Hello> hello) {
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(TIMEOUT_MILLIS));
        this.codec = codec;
        this.metrics = metrics;
        this.members = members;
        this.hello = hello;
    }

    /**
     * Asks an executor about an attempt.
     *
     * @param executor the executor
     * @param key key of the attempt
     * @param attempt number of the attempt
     * @return the answer; fails if the executor is not on the VM list or does not answer
     */
    public Future<KeyAnswer> ask(ExecutorIdentity executor, OperationKey key, long attempt) {
        KeyQuestion question = new KeyQuestion(
                EXCHANGE_NUMBER, executor.process(), executor.incarnation(), key.customer(), key.key(), attempt);
        return findMember(knownMembers, executor)
                .recover(unknown -> members.get().compose(list -> {
                    knownMembers = list;
                    return findMember(list, executor);
                }))
                .compose(member -> client.connect(member.peerPort(), member.host()))
                .compose(socket -> sendQuestion(socket, question))
                .onFailure(failure -> knownMembers = List.of());
    }

    private static Future<Member> findMember(List<Member> members, ExecutorIdentity executor) {
        for (Member member : members) {
            if (member.role() == ProcessRole.SIDECAR && member.vm().equals(executor.process())) {
                return Future.succeededFuture(member);
            }
        }
        return Future.failedFuture("the VM list has no sidecar " + executor.process());
    }

    private Future<KeyAnswer> sendQuestion(NetSocket socket, KeyQuestion question) {
        PeerConnection connection = new PeerConnection(socket, codec, metrics);
        Promise<KeyAnswer> answer = Promise.promise();
        connection.onMessage(message -> {
            if (message instanceof KeyAnswer received) {
                answer.tryComplete(received);
            }
        });
        connection.onClose(() -> answer.tryFail("the connection was closed"));
        connection.send(hello.get());
        connection.send(question);
        return answer.future().timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).onComplete(ignored -> connection.close());
    }
}
