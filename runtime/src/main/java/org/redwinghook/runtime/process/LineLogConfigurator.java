package org.redwinghook.runtime.process;

import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging without an XML file, as reading XML takes a large part of the processor time of a start. Lines are
 * written to standard output through a bounded queue; a full queue drops lines and never blocks. Used if the system
 * property {@code redwinghook.log} has the value {@code lines}.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LineLogConfigurator extends ContextAwareBase implements Configurator {

    /** Maximum number of lines waiting to be written, which a router under usual load logs in several seconds. */
    private static final int QUEUE_CAPACITY = 2_048;

    private static final String PROPERTY = "redwinghook.log";
    private static final String LINES_FORMAT = "lines";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!LINES_FORMAT.equals(System.getProperty(PROPERTY))) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        LineLayout layout = new LineLayout();
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_CAPACITY);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        context.getLogger("io.netty").setLevel(Level.WARN);
        context.getLogger("io.vertx").setLevel(Level.WARN);
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(queue);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
