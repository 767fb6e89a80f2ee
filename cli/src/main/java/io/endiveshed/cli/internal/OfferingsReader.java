package io.endiveshed.cli.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.NameFormat;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.time.OpeningHours;
import io.endiveshed.coordination.config.Offering;
import io.endiveshed.settings.OpeningHoursReader;
import io.endiveshed.settings.Section;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reader of the list {@code offered}: the failure domains in which a model or service is offered, and when. */
final class OfferingsReader {
    private OfferingsReader() {}

    /** Returns the valid offerings of a model or service; faults are reported to the section. */
    static List<Offering> read(Section section) {
        List<Offering> offerings = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (Section item : section.sections("offered")) {
            readItem(item).ifPresent(offering -> {
                if (!places.add(offering.region() + " " + offering.failureDomain())) {
                    item.addError("failure-domain", "this place is listed twice", "join the two items");
                }
                offerings.add(offering);
            });
            item.reportUnknownKeys();
        }
        return offerings;
    }

    private static Optional<Offering> readItem(Section item) {
        Optional<Region> region =
                item.parse("region", item.requiredText("region", "north"), NameFormat.checked("region", Region::new));
        Optional<FailureDomain> domain = item.parse(
                "failure-domain",
                item.requiredText("failure-domain", "north-a"),
                NameFormat.checked("failure domain", FailureDomain::new));
        Optional<OpeningHours> hours = OpeningHoursReader.read(item);
        return region.isPresent() && domain.isPresent() && hours.isPresent()
                ? Optional.of(new Offering(region.get(), domain.get(), hours.get()))
                : Optional.empty();
    }
}
