package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.PromptRequest;
import java.util.Random;

/**
 * Arrivals of prompts in one second.
 *
 * @param shortPrompts prompts of some thousand tokens, first event within 300 ms, pauses of 250 ms
 * @param mediumPrompts prompts of some ten thousand tokens, 1.5 s and 600 ms
 * @param longPrompts prompts of some hundred thousand tokens, 3 s and 1 s
 */
record LoadMix(double shortPrompts, double mediumPrompts, double longPrompts) {
    double perSecond() {
        return shortPrompts + mediumPrompts + longPrompts;
    }

    /** Draws a prompt; the size of long ones is multiplied by the given factor. */
    PromptRequest draw(Random random, double longSize) {
        double kind = random.nextDouble() * perSecond();
        if (kind < longPrompts) {
            return prompt(
                    random,
                    new Size(155_000 * longSize, 0.55, 900_000),
                    new Size(600, 0.5, 1_600),
                    3_000,
                    12_000,
                    1_000);
        }
        if (kind < longPrompts + mediumPrompts) {
            return prompt(random, new Size(40_000, 0.5, 110_000), new Size(700, 0.6, 1_900), 1_500, 6_000, 600);
        }
        return prompt(random, new Size(4_000, 0.8, 23_000), new Size(1_100, 0.6, 3_200), 300, 2_000, 250);
    }

    private static PromptRequest prompt(
            Random random, Size prompt, Size output, double firstEvent, double abandon, double pause) {
        return new PromptRequest(prompt.draw(random), output.draw(random), firstEvent, abandon, pause);
    }

    /** Log-normal number of tokens, bounded. */
    private record Size(double median, double spread, long most) {
        long draw(Random random) {
            return Math.min(most, (long) (median * Math.exp(spread * random.nextGaussian())));
        }
    }
}
