package org.redwinghook.runtime.wire;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OriginAnswer;
import org.redwinghook.core.message.OriginGroup;
import org.redwinghook.core.message.OriginQuestion;
import org.redwinghook.core.message.OriginReport;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.message.QuarantineReport;
import org.redwinghook.core.message.RolloutReport;
import org.redwinghook.core.message.SpeedReport;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.core.placement.SharedSpeed;
import org.redwinghook.core.quarantine.EndpointCrash;
import org.redwinghook.core.quarantine.PartSuccess;
import org.redwinghook.core.quarantine.PartTrial;
import org.redwinghook.core.quarantine.QuarantineEvidence;
import org.redwinghook.core.quarantine.SuspectRequest;
import org.redwinghook.core.rollout.RouteEvidence;
import org.redwinghook.core.rollout.RouterEvidence;
import org.redwinghook.core.rollout.TimeSum;
import org.redwinghook.core.rollout.VersionCounts;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against fields that are reordered or lost on the wire, and against versions that cannot decode each other. */
public class FrameCodecTest {

    /** Maximum size of a heartbeat; with 136 connections and two heartbeats on each in 5 s this is 2.2 KB a second. */
    private static final int MAXIMUM_HEARTBEAT_BYTES = 40;

    private static final EndpointLoad LOAD = new EndpointLoad(12, 3, 48, 0.75, 1_200, true);

    private final FrameCodec codec = new FrameCodec();
    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new Hello(1, "router-1", 7L << 40, ProcessRole.ROUTER, null, "hu-central-1", 42)},
            {new Heartbeat(42, LOAD)},
            {new Heartbeat(42, null)},
            {new Tokens(9, 100, List.of("a", "b"))},
            {new Finished(9, FinishReason.LENGTH, new TokenUsage(5, 101), 101, LOAD)},
            {
                new QuarantineReport(new QuarantineEvidence(
                        List.of(new EndpointCrash(
                                "e-1@7", -20, List.of(new SuspectRequest("r-1", List.of("p-1", "p-2"), -900)), false)),
                        List.of(new PartSuccess("p-1", -4_000)),
                        List.of(new PartTrial("p-2", "r-2", 0, true))))
            },
            {
                new RolloutReport(
                        "calls",
                        "v2",
                        7,
                        new RouterEvidence(
                                "router-1",
                                1L << 40,
                                3,
                                900,
                                2,
                                true,
                                false,
                                false,
                                "why",
                                null,
                                List.of(new RouteEvidence(
                                        "orders",
                                        9,
                                        new VersionCounts(7, 1, 0),
                                        VersionCounts.NONE,
                                        40,
                                        new TimeSum(3, 2.5),
                                        TimeSum.NONE))),
                        2)
            },
            {new OriginReport(List.of(new OriginGroup("models", "v1", List.of("a", "b"))), true)},
            {new OriginQuestion(7, "models", "a")},
            {new OriginAnswer(7, null)},
            {new SpeedReport("router-1", 1L << 41, List.of(new SharedSpeed(-7, 170, 21)))},
            {new Submit(9, "copy", "parna", "retail", 5, 30_000, 256, new GenerationRequest("copy", "Hi", 1, 64), null)
            },
        };
    }

    @Test(dataProvider = "messages")
    public void decodedMessageEqualsTheEncodedOne(Message message) {
        Assert.assertEquals(codec.decode(body(message)).get(), message);
    }

    @Test
    public void heartbeatIsSmall() {
        int bytes = codec.encode(new Heartbeat(1_000_000, LOAD)).length();
        Assert.assertTrue(bytes <= MAXIMUM_HEARTBEAT_BYTES, bytes + " bytes");
    }

    @Test
    public void fieldsOfNewerVersionAreIgnored() throws Exception {
        byte[] newer =
                mapper.writeValueAsBytes(List.of("heartbeat", List.of(42, List.of(1, 2, 3, 0.5, 4, true, 9), "x")));
        Assert.assertEquals(
                codec.decode(Buffer.buffer(newer)).get(), new Heartbeat(42, new EndpointLoad(1, 2, 3, 0.5, 4, true)));
    }

    @Test
    public void messageOfUnknownTypeIsFailure() throws Exception {
        byte[] unknown = mapper.writeValueAsBytes(List.of("telepathy", List.of(1)));
        Assert.assertTrue(codec.decode(Buffer.buffer(unknown)).isFailure());
    }

    /** Missing lists must not reach the routers' decisions. */
    @Test
    public void damagedReportIsFailure() throws Exception {
        for (List<?> fields : List.of(List.of(), List.of(List.of(List.of())), List.of("s", "v", 1, List.of()))) {
            for (String name : List.of("quarantineReport", "rolloutReport")) {
                byte[] damaged = mapper.writeValueAsBytes(List.of(name, fields));
                Assert.assertTrue(codec.decode(Buffer.buffer(damaged)).isFailure(), name + " " + fields);
            }
        }
    }

    private Buffer body(Message message) {
        Buffer frame = codec.encode(message);
        return frame.getBuffer(FrameCodec.LENGTH_BYTES, frame.length());
    }
}
