package org.redwinghook.experiments.capacity;

import java.util.List;
import java.util.function.IntFunction;

import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.routing.EndpointSubset;

/** Series of measurements, each of which varies one dimension of the load. */
public enum Series {
    /** Sidecars that a router is connected to. */
    ROUTER_ENDPOINTS(
            ProcessRole.ROUTER,
            "connected endpoints",
            List.of(24, 64, 136, 208, 304),
            Sizes.CONNECTED_ENDPOINTS,
            Series::endpoints),
    /** Other routers in the VM list of a router. */
    ROUTER_PEERS(ProcessRole.ROUTER, "peer routers", List.of(10, 40, 120, 360), 360, Series::routers),
    /** Customers in a router's configuration. */
    ROUTER_CUSTOMERS(ProcessRole.ROUTER, "customers", Sizes.CUSTOMER_SIZES, Sizes.TARGET_CUSTOMERS, Series::customers),
    /** Changes per minute of a router's configuration. */
    ROUTER_CHANGES(
            ProcessRole.ROUTER,
            "changes a minute",
            Sizes.CHANGE_RATES_PER_MINUTE,
            Sizes.TARGET_CHANGES_PER_MINUTE,
            Series::changes),
    /** Quota requests per second that a router answers as owner; at the target, one for each request of its callers. */
    ROUTER_QUOTA(
            ProcessRole.ROUTER,
            "quota requests a second",
            List.of(10, 50, 200),
            Sizes.TARGET_REQUESTS_PER_SECOND,
            Series::quotaRequests),
    /** Routers that are connected to a sidecar. */
    SIDECAR_ROUTERS(
            ProcessRole.SIDECAR,
            "connected routers",
            List.of(10, 40, 120, 360),
            Sizes.CONNECTED_ROUTERS,
            Series::routers),
    /** Customers in a sidecar's configuration. */
    SIDECAR_CUSTOMERS(
            ProcessRole.SIDECAR, "customers", Sizes.CUSTOMER_SIZES, Sizes.TARGET_CUSTOMERS, Series::customers),
    /** Changes per minute of a sidecar's configuration. */
    SIDECAR_CHANGES(
            ProcessRole.SIDECAR,
            "changes a minute",
            Sizes.CHANGE_RATES_PER_MINUTE,
            Sizes.TARGET_CHANGES_PER_MINUTE,
            Series::changes);

    private final ProcessRole role;
    private final String label;
    private final List<Integer> sizes;
    private final double targetSize;
    private final IntFunction<ProcessLoad> createLoad;

    Series(
            ProcessRole role,
            String label,
            List<Integer> sizes,
            double targetSize,
            IntFunction<ProcessLoad> createLoad) {
        this.role = role;
        this.label = label;
        this.sizes = sizes;
        this.targetSize = targetSize;
        this.createLoad = createLoad;
    }

    /**
     * Role of the measured processes.
     *
     * @return the role
     */
    public ProcessRole role() {
        return role;
    }

    /**
     * Dimension that varies.
     *
     * @return name and unit in the plural, for tables
     */
    public String label() {
        return label;
    }

    /**
     * Sizes to measure.
     *
     * @return sizes in ascending order
     */
    public List<Integer> sizes() {
        return sizes;
    }

    /**
     * Size in the target deployment of docs/design.md section 1.
     *
     * @return the size
     */
    public double targetSize() {
        return targetSize;
    }

    /**
     * Creates the load of one measured process.
     *
     * @param size value of the dimension that varies
     * @return the load
     */
    public ProcessLoad createLoad(int size) {
        return createLoad.apply(size);
    }

    private static ProcessLoad endpoints(int size) {
        return new ProcessLoad(size, 0, 0, 0, 0);
    }

    private static ProcessLoad routers(int size) {
        return new ProcessLoad(0, size, 0, 0, 0);
    }

    private static ProcessLoad customers(int size) {
        return new ProcessLoad(0, 0, size, 0, 0);
    }

    private static ProcessLoad changes(int size) {
        return new ProcessLoad(0, 1, Sizes.TARGET_CUSTOMERS, size, 0);
    }

    private static ProcessLoad quotaRequests(int size) {
        return new ProcessLoad(0, 1, Sizes.QUOTA_CUSTOMERS, 0, size);
    }

    /** Constants in a nested class, since static fields of an enum are not initialised before its constants. */
    private static final class Sizes {

        static final int TARGET_CUSTOMERS = 21_000;
        static final List<Integer> CUSTOMER_SIZES = List.of(500, 2_000, 8_000, TARGET_CUSTOMERS);

        /** The rate 0 gives the cost of the customers without changes. */
        static final List<Integer> CHANGE_RATES_PER_MINUTE = List.of(0, 20, 60, 120);

        /** 2,100 changes per day. */
        static final double TARGET_CHANGES_PER_MINUTE = 2_100 / (24 * 60.0);
        /** Requests per second of one router: 3,500 over 360 routers. */
        static final double TARGET_REQUESTS_PER_SECOND = 3_500 / 360.0;

        /** For each of 17 models, 8 endpoints in the router's own region and 2 in each of two other regions. */
        static final int CONNECTED_ENDPOINTS = 17 * (EndpointSubset.SIZE + 2 * EndpointSubset.REMOTE_SIZE);

        /** Connections of 360 routers, spread evenly over 600 sidecars. */
        static final double CONNECTED_ROUTERS = 360.0 * CONNECTED_ENDPOINTS / 600;

        static final int QUOTA_CUSTOMERS = 500;

        private Sizes() {}
    }
}
