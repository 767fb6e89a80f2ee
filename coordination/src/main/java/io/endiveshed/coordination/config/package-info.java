/** The configuration that operators apply as a whole. */
package io.endiveshed.coordination.config;
