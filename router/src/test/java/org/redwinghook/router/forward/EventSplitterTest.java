package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.receive.ReceiveLimits;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against events that are lost, changed or forwarded in part, however the bytes are split. */
public class EventSplitterTest {

    private static final int SEEDS = 200;

    @Test
    public void eventsDoNotDependOnHowBytesAreSplit() {
        String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d\n\n";
        for (int seed = 0; seed < SEEDS; seed++) {
            EventSplitter splitter = new EventSplitter();
            List<EventSplitter.Event> events = new ArrayList<>();
            Random random = new Random(seed);
            for (int start = 0; start < stream.length(); ) {
                int end = Math.min(stream.length(), start + 1 + random.nextInt(12));
                events.addAll(splitter.add(Buffer.buffer(stream.substring(start, end))));
                start = end;
            }
            StringBuilder joined = new StringBuilder();
            events.forEach(event -> joined.append(event.bytes()));
            Assert.assertEquals(joined.toString(), stream, "seed " + seed);
            Assert.assertEquals(events.size(), 4, "seed " + seed);
            Assert.assertEquals(events.get(1).id(), "2");
            Assert.assertNull(events.get(2).id());
            Assert.assertFalse(splitter.hasPartialEvent());
        }
    }

    @Test
    public void partialEventIsHeldBack() {
        EventSplitter splitter = new EventSplitter();
        Assert.assertEquals(
                splitter.add(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).size(), 1);
        Assert.assertTrue(splitter.hasPartialEvent());
    }

    /** Guards against an event loop that is kept busy by empty lines without end, each of which was an event. */
    @Test
    public void emptyLinesAreNoEvents() {
        EventSplitter splitter = new EventSplitter();
        Assert.assertEquals(splitter.add(Buffer.buffer("\n".repeat(8_192))), List.of());
        Assert.assertFalse(splitter.hasPartialEvent());
        List<EventSplitter.Event> events = splitter.add(Buffer.buffer("data: a\n\n\r\n"));
        Assert.assertEquals(events.size(), 1);
        Assert.assertEquals(events.get(0).bytes().length(), 8_192 + "data: a\n\n".length());
        Assert.assertEquals(splitter.trailingLines().toString(), "\r\n");
    }

    /** Guards against work that grows with the square of the size of an event. */
    @Test(timeOut = 5_000)
    public void eventWithoutEndIsReadOnceAndTooLarge() {
        EventSplitter splitter = new EventSplitter();
        Buffer piece = Buffer.buffer("x".repeat(1_024));
        for (int bytes = 0; bytes <= ReceiveLimits.MAXIMUM_MESSAGE_BYTES; bytes += piece.length()) {
            Assert.assertFalse(splitter.isTooLarge());
            Assert.assertTrue(splitter.add(piece).isEmpty());
        }
        Assert.assertTrue(splitter.isTooLarge());
    }

    @Test
    public void identifierIsTheFirstOneOfItsEvent() {
        List<EventSplitter.Event> events =
                new EventSplitter().add(Buffer.buffer("data: id: 1\nid: 2 \r\nid: 3\n\ndata: a\n\n"));
        Assert.assertEquals(events.get(0).id(), "2");
        Assert.assertNull(events.get(1).id());
    }

    /** Guards against an error text or the head of a response that is passed on in a stream. */
    @Test
    public void onlyCommentsAndFieldsAreWellFormed() {
        String wellFormed = "id: 1\ndata: x\n\n: ping\n\ndata\r\n\r\nweight-versions: 3\r\ndata:HTTP/1.1 500\r\n\r\n\n";
        new EventSplitter()
                .add(Buffer.buffer(wellFormed))
                .forEach(event -> Assert.assertTrue(event.isWellFormed(), event.toString()));
        for (String text :
                List.of("failed", "HTTP/1.1 500 Failed\r\nContent-Length: 6", "{\"error\": 1}", "data: x\nERROR")) {
            List<EventSplitter.Event> events = new EventSplitter().add(Buffer.buffer(text + "\n\ndata: y\n\n"));
            Assert.assertFalse(events.get(0).isWellFormed(), text);
            Assert.assertTrue(events.get(1).isWellFormed(), text);
        }
    }
}
