package org.plantainknot.core.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Group of VMs that can fail together. */
public enum FailureDomain {
  /** No spare VMs are required for the loss of a domain. */
  NONE(null),
  /** Each VM fails independently. */
  VM(Announcement::instance),
  /** The VMs of a rack fail together. */
  RACK(a -> a.dataCenter() + "/" + a.rack()),
  /** The VMs of a data centre fail together. */
  DATA_CENTER(Announcement::dataCenter);

  private final Function<Announcement, String> domainOf;

  FailureDomain(Function<Announcement, String> domainOf) {
    this.domainOf = domainOf;
  }

  /** Returns the minimum number of VMs lost when one domain fails. */
  public int minLoss() {
    return domainOf == null ? 0 : 1;
  }

  /**
   * Returns the number of VMs in the largest domain, which is the most that one domain failure can
   * take.
   */
  public long largestDomainSize(Collection<Announcement> announcements) {
    if (domainOf == null) {
      return 0;
    }
    Map<String, Long> sizes =
        announcements.stream().collect(Collectors.groupingBy(domainOf, Collectors.counting()));
    return sizes.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }
}
