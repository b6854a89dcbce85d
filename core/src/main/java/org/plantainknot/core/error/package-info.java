/** Error codes, and validation findings that are collected and reported together. */
package org.plantainknot.core.error;
