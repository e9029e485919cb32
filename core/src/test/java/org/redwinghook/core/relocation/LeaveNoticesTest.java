package org.redwinghook.core.relocation;

import java.util.List;
import java.util.Set;

import org.redwinghook.core.message.LeaveNotice;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against routers that draw different conclusions from the same notices. */
public class LeaveNoticesTest {

    private static final String ENGINE = "m-1@1";
    private static final long NOW = 100_000;

    private static LeaveNotice notice(boolean leaves, long ageMillis, long remainingMillis) {
        return new LeaveNotice("m-1", 1, leaves, ageMillis, remainingMillis, "router-1");
    }

    @Test
    public void orderAndRepetitionDoNotMatter() {
        LeaveNotice leaves = notice(true, 2_000, 1_500);
        LeaveNotice later = notice(true, 1_900, 1_300);
        LeaveNotice tooEarly = notice(false, 1_500, -1);
        LeaveNotice stays = notice(false, 500, -1);
        for (List<LeaveNotice> order : List.of(
                List.of(leaves, later, tooEarly),
                List.of(later, leaves, tooEarly, leaves),
                List.of(leaves, tooEarly, later, tooEarly))) {
            LeaveNotices notices = new LeaveNotices();
            order.forEach(notice -> notices.merge(notice, NOW));
            Assert.assertTrue(notices.leaves(ENGINE), order.toString());
            Assert.assertEquals(notices.endMillis(ENGINE), NOW + 1_300, order.toString());
            Assert.assertEquals(notices.merge(stays, NOW), LeaveNotices.Change.STAYS);
            Assert.assertEquals(notices.merge(later, NOW), LeaveNotices.Change.NONE);
        }
    }

    /** Guards against a notice that stops the use of a later start, or that is kept for ever. */
    @Test
    public void noticeConcernsOneStartOfAnEngine() {
        LeaveNotices notices = new LeaveNotices();
        Assert.assertEquals(notices.merge(notice(true, 0, -1), NOW), LeaveNotices.Change.LEAVES);
        Assert.assertFalse(notices.leaves("m-1@2"));
        Assert.assertFalse(notices.isOverdue(ENGINE, NOW + 2_000));
        Assert.assertTrue(notices.isOverdue(ENGINE, NOW + 4_000));
        notices.removeUnlisted(Set.of(ENGINE), NOW + 60_000);
        Assert.assertTrue(notices.leaves(ENGINE));
        notices.removeUnlisted(Set.of("m-1@2"), NOW + 60_000);
        Assert.assertTrue(notices.isEmpty());
    }
}
