/** Plays loads of prompts through the placing of the product and through simpler policies, in virtual time. */
package io.endiveshed.bench.placement;
