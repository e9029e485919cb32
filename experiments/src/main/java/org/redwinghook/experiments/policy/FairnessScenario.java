package org.redwinghook.experiments.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Load scenarios, most with a customer or owner that exceeds its share. Results are compared by group of customers. */
enum FairnessScenario {
    /** Ten customers, each within its share. */
    ALL_WITHIN_SHARE("ten customers, no runaway", 0.6) {
        @Override
        List<TraceCustomer> customers() {
            return createCustomers(OWNER, "usual", 10, 1);
        }
    },
    /** The same ten customers and one that sends ten times as much as each of them. */
    RUNAWAY_CUSTOMER("the same and a runaway customer", 1.2) {
        @Override
        List<TraceCustomer> customers() {
            return concatenate(createCustomers(OWNER, "usual", 10, 1), createCustomers(OWNER, "runaway", 1, 10));
        }
    },
    /** One large customer that sends as much as ten small ones together; the total is twice the capacity. */
    LARGE_AND_SMALL("one large customer against ten small", 2) {
        @Override
        List<TraceCustomer> customers() {
            return concatenate(createCustomers(OWNER, "small", 10, 1), createCustomers(OWNER, "large", 1, 10));
        }
    },
    /** Only the customers of the smallest owner. */
    SMALL_OWNER_ALONE("smallest owner alone", 0.1) {
        @Override
        List<TraceCustomer> customers() {
            return createCustomers(SMALL_OWNER, "small-owner", 2, 1);
        }
    },
    /** The smallest owner and another owner that sends twice the capacity. */
    SMALL_OWNER_UNDER_OVERLOAD("smallest owner, the other overloads", 2.1) {
        @Override
        List<TraceCustomer> customers() {
            return concatenate(
                    createCustomers(SMALL_OWNER, "small-owner", 2, 1), createCustomers(OWNER, "crowd", 10, 4));
        }
    };

    private static final String OWNER = "owner-large";
    private static final String SMALL_OWNER = "owner-small";

    private final String title;
    private final double rateFactor;

    FairnessScenario(String title, double rateFactor) {
        this.title = title;
        this.rateFactor = rateFactor;
    }

    String title() {
        return title;
    }

    /** Factor on the deployment's usual rate of drafts. */
    double rateFactor() {
        return rateFactor;
    }

    abstract List<TraceCustomer> customers();

    /** Names of customers by group, which is the part of the name before the last slash. */
    Map<String, List<String>> groups() {
        Map<String, List<String>> groups = new LinkedHashMap<>();
        for (TraceCustomer customer : customers()) {
            String group = customer.name().substring(0, customer.name().lastIndexOf('/'));
            groups.computeIfAbsent(group, ignored -> new ArrayList<>()).add(customer.name());
        }
        return groups;
    }

    private static List<TraceCustomer> createCustomers(String owner, String group, int count, double weight) {
        List<TraceCustomer> customers = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            customers.add(new TraceCustomer(group + "/" + number, owner, weight, 1));
        }
        return customers;
    }

    private static List<TraceCustomer> concatenate(List<TraceCustomer> first, List<TraceCustomer> second) {
        List<TraceCustomer> all = new ArrayList<>(first);
        all.addAll(second);
        return all;
    }
}
