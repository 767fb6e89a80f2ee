/** YAML settings, checked as a whole. */
package io.endiveshed.settings;
