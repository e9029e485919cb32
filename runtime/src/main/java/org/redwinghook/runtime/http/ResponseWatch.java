package org.redwinghook.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Tells the guard of a connection when a response has been written to the operating system. */
final class ResponseWatch extends ChannelOutboundHandlerAdapter {

    private final ConnectionGuard guard;

    ResponseWatch(ConnectionGuard guard) {
        this.guard = guard;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (!isEnd(message)) {
            ctx.write(message, promise);
            return;
        }
        guard.handleResponseEnded();
        ctx.write(message, promise.unvoid()).addListener(ignored -> guard.handleResponseWritten());
    }

    private static boolean isEnd(Object message) {
        boolean isInterim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return message instanceof LastHttpContent && !isInterim;
    }
}
