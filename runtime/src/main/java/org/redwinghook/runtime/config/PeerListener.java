package org.redwinghook.runtime.config;

/** Is told of the connections between processes and of what comes over them. */
public interface PeerListener extends ConfigurationExchange {

    /**
     * Tells how many other processes matter.
     *
     * @param liveRouters live routers, this process included if it is one
     * @param peers other processes that are connected or that may still be reached
     */
    void updateMemberCounts(int liveRouters, int peers);
}
