package org.redwinghook.standins.plain;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the plain service stand-in. */
public final class PlainServiceOptions extends KindOptions {

    @Option(name = "--answer-delay-millis", metaVar = "MILLIS", usage = "delay between effect and answer")
    private long answerDelayMillis;

    @Override
    public StandIn create(Vertx vertx) {
        PlainServiceStandIn service = new PlainServiceStandIn(vertx, port());
        service.faults().update(faults -> faults.withAnswerDelayMillis(answerDelayMillis));
        return service;
    }
}
